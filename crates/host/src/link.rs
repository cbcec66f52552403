//! What a host says to an owner over their connection.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::host::lock;
use crate::wire::{Call, Reply, ToOwner};

/// A host's side of its connection to an owner.
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
    calls: Mutex<FxHashMap<u64, oneshot::Sender<Reply>>>,
    number: AtomicU64,
}

impl Link {
    /// What is said goes into this channel; the connection has ended when its receiver is dropped.
    #[must_use]
    pub fn new(to: mpsc::Sender<ToOwner>) -> Self {
        Self {
            to,
            calls: Mutex::default(),
            number: AtomicU64::new(1),
        }
    }

    /// Tells the owner something; `false` if the link is broken or full.
    pub fn send(&self, message: ToOwner) -> bool {
        self.to.try_send(message).is_ok()
    }

    /// Asks the owner something; `None` if it doesn't answer within `time`.
    pub async fn call(&self, call: Call, time: Duration) -> Option<Reply> {
        let (number, answer) = self.ask(call)?;
        let reply = timeout(time, answer).await.ok().and_then(Result::ok);
        lock(&self.calls).remove(&number);
        reply
    }

    /// Asks the owner for something whose answer may take long to arrive; `None` if the connection ends before.
    ///
    /// There is no other limit: an answer that was given up would go on arriving, and delay the next one.
    pub async fn fetch(&self, call: Call) -> Option<Reply> {
        let (number, answer) = self.ask(call)?;
        let reply = tokio::select! {
            reply = answer => reply.ok(),
            () = self.to.closed() => None,
        };
        lock(&self.calls).remove(&number);
        reply
    }

    /// The owner has answered the call with this number; tells the reply if nobody waits for it any more.
    pub fn deliver_reply(&self, number: u64, reply: Reply) -> Option<Reply> {
        match lock(&self.calls).remove(&number) {
            Some(to) => to.send(reply).err(),
            None => Some(reply),
        }
    }

    /// Sends a call; `None` if the link is broken or full.
    fn ask(&self, call: Call) -> Option<(u64, oneshot::Receiver<Reply>)> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let (to, answer) = oneshot::channel();
        lock(&self.calls).insert(number, to);
        if self.send(ToOwner::Call(number, call)) {
            return Some((number, answer));
        }
        lock(&self.calls).remove(&number);
        None
    }
}
