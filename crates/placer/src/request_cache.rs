//! Deduplicates requests: a request that is sent again gets the answer of its first execution.

use std::collections::HashMap;
use std::time::Duration;

use cell::Now;
use tokio::sync::watch;
use wire::{Answer, Class, Request};

/// State of a request when it arrives.
#[derive(Debug)]
pub(crate) enum Lookup {
    /// New: the caller runs it and passes the answer to [`RequestCache::end`].
    New,
    /// In progress: its answer will be sent over this channel.
    Running(watch::Receiver<Option<Answer>>),
    /// Ended with this answer.
    Ended(Answer),
    /// A different request has this id.
    Conflict,
}

/// Requests of one rack by `team/id`.
#[derive(Debug)]
pub(crate) struct RequestCache {
    retention: Duration,
    entries: HashMap<String, CachedRequest>,
}

#[derive(Debug)]
struct CachedRequest {
    request: Request,
    answer: watch::Sender<Option<Answer>>,
    ended: Option<Now>,
}

impl RequestCache {
    /// Creates an empty cache that retains answers for this long.
    pub(crate) fn new(retention: Duration) -> Self {
        Self {
            retention,
            entries: HashMap::new(),
        }
    }

    /// Looks up a request and records it if it is new.
    pub(crate) fn begin(&mut self, name: &str, request: &Request) -> Lookup {
        if let Some(seen) = self.entries.get(name) {
            if !seen.request.is_same_as(request) {
                return Lookup::Conflict;
            }
            let answer = seen.answer.subscribe();
            let ended = answer.borrow().clone();
            return ended.map_or(Lookup::Running(answer), Lookup::Ended);
        }
        let seen = CachedRequest {
            request: request.clone(),
            answer: watch::Sender::new(None),
            ended: None,
        };
        self.entries.insert(name.to_owned(), seen);
        Lookup::New
    }

    /// Records the answer to a request and sends it to those that wait for it.
    ///
    /// A request that certainly did not run, or that is idempotent, is removed and may run again.
    /// The answer to a non-idempotent request is retained, since the request must not run twice.
    pub(crate) fn end(&mut self, name: &str, answer: &Answer, now: Now) {
        let Some(seen) = self.entries.get_mut(name) else {
            return;
        };
        seen.answer.send_replace(Some(answer.clone()));
        seen.ended = Some(now);
        let may_have_run = matches!(answer.class(), Class::Done | Class::MayHaveRun);
        if !may_have_run || seen.request.idempotent {
            self.entries.remove(name);
        }
    }

    /// Removes requests that ended longer ago than the retention period.
    pub(crate) fn evict_expired(&mut self, now: Now) {
        let retention = self.retention;
        self.entries
            .retain(|_, seen| seen.ended.is_none_or(|ended| now < ended + retention));
    }
}
