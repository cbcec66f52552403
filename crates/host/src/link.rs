//! A host's end of its connection to the owner of a pool: messages, and calls with their replies.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::info;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::host::lock;
use crate::wire::{Call, Reply, ToOwner};

/// A host's end of its connection to an owner.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
/// use host::link::Link;
/// use host::wire::{Call, Reply, ToOwner};
///
/// let (to, mut from) = tokio::sync::mpsc::channel(8);
/// let link = Link::new(to);
/// let owner = async {
///     if let Some(ToOwner::Call(number, Call::PoolMap)) = from.recv().await {
///         assert!(link.deliver_reply(number, Reply::Unsure).is_none());
///     }
/// };
/// let (reply, ()) = tokio::join!(link.fetch(Call::PoolMap), owner);
/// assert!(matches!(reply, Some(Reply::Unsure)));
/// # });
/// ```
pub struct Link {
    to: mpsc::Sender<ToOwner>,
    /// Calls that wait for their replies, by number.
    calls: Mutex<FxHashMap<u64, oneshot::Sender<Reply>>>,
    next_number: AtomicU64,
}

impl Link {
    /// Creates a link that sends its messages into this channel. The connection has ended when the receiver of the channel is
    /// dropped.
    #[must_use]
    pub fn new(to: mpsc::Sender<ToOwner>) -> Self {
        Self {
            to,
            calls: Mutex::default(),
            next_number: AtomicU64::new(1),
        }
    }

    /// Sends a message to the owner; `false` if the link is broken or its queue is full.
    pub fn send(&self, message: ToOwner) -> bool {
        self.to.try_send(message).is_ok()
    }

    /// Calls the owner; `None` if there is no reply within `limit`, or the connection ends before it arrives.
    pub async fn call(&self, call: Call, limit: Duration) -> Option<Reply> {
        let mut unanswered = UnansweredCall::new(&call);
        let (number, reply) = self.send_call(call)?;
        unanswered.sent_on = Some((self, number));
        let reply = tokio::select! {
            biased;
            reply = timeout(limit, reply) => reply.ok().and_then(Result::ok),
            () = self.to.closed() => None,
        };
        unanswered.end(reply)
    }

    /// Calls the owner for something whose reply may take long to transfer; `None` if the connection ends before it arrives.
    ///
    /// There is no timeout: the reply to a call that timed out would go on arriving and delay the next one.
    pub async fn fetch(&self, call: Call) -> Option<Reply> {
        let (number, reply) = self.send_call(call)?;
        let reply = tokio::select! {
            reply = reply => reply.ok(),
            () = self.to.closed() => None,
        };
        lock(&self.calls).remove(&number);
        reply
    }

    /// Passes the owner's reply to the call with this number; returns the reply if that call doesn't wait for it any more.
    pub fn deliver_reply(&self, number: u64, reply: Reply) -> Option<Reply> {
        match lock(&self.calls).remove(&number) {
            Some(to) => to.send(reply).err(),
            None => Some(reply),
        }
    }

    /// Sends a call; `None` if the link is broken or its queue is full.
    fn send_call(&self, call: Call) -> Option<(u64, oneshot::Receiver<Reply>)> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (to, reply) = oneshot::channel();
        lock(&self.calls).insert(number, to);
        if self.send(ToOwner::Call(number, call)) {
            return Some((number, reply));
        }
        lock(&self.calls).remove(&number);
        None
    }
}

/// A call to an owner that has no reply yet. Logs that there is none if it ends or is dropped without one.
pub(crate) struct UnansweredCall<'a> {
    kind: &'static str,
    job: String,
    began: Instant,
    /// The link, and the number of the call on it; `None` if the owner is on this host, or the call wasn't sent.
    sent_on: Option<(&'a Link, u64)>,
    has_reply: bool,
}

impl UnansweredCall<'_> {
    pub(crate) fn new(call: &Call) -> Self {
        Self {
            kind: call.name(),
            job: call.job().unwrap_or_default().to_owned(),
            began: Instant::now(),
            sent_on: None,
            has_reply: false,
        }
    }

    /// Ends the call and returns its reply, if there is one.
    pub(crate) fn end(mut self, reply: Option<Reply>) -> Option<Reply> {
        self.has_reply = reply.is_some();
        reply
    }
}

impl Drop for UnansweredCall<'_> {
    fn drop(&mut self) {
        if let Some((link, number)) = self.sent_on {
            lock(&link.calls).remove(&number);
        }
        if self.has_reply {
            return;
        }
        info!(
            call = self.kind, job = self.job, sent = self.sent_on.is_some(),
            link_ended = self.sent_on.is_some_and(|(link, _)| link.to.is_closed()),
            ms = self.began.elapsed().as_millis() as u64;
            "no reply of the pool owner"
        );
    }
}
