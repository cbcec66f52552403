//! Requests that this owner has seen: the same request asked again gets the same answer.

use std::collections::HashMap;
use std::time::Duration;

use cell::Now;
use tokio::sync::watch;
use wire::{Answer, Class, Request};

/// What is to be done with a request.
#[derive(Debug)]
pub(crate) enum Entry {
    /// It is new: run it, and tell the memory how it ended.
    New,
    /// It is under way: wait for its answer.
    Running(watch::Receiver<Option<Answer>>),
    /// It has ended with this answer.
    Ended(Answer),
    /// Another request has this id.
    Conflict,
}

/// Requests by team and id.
#[derive(Debug)]
pub(crate) struct Memory {
    keep: Duration,
    seen: HashMap<String, Seen>,
}

#[derive(Debug)]
struct Seen {
    request: Request,
    answer: watch::Sender<Option<Answer>>,
    ended: Option<Now>,
}

impl Memory {
    /// Keeps answers for this long.
    pub(crate) fn new(keep: Duration) -> Self {
        Self {
            keep,
            seen: HashMap::new(),
        }
    }

    /// Takes note of a request.
    pub(crate) fn begin(&mut self, name: &str, request: &Request) -> Entry {
        if let Some(seen) = self.seen.get(name) {
            if !seen.request.is_same_as(request) {
                return Entry::Conflict;
            }
            let answer = seen.answer.subscribe();
            let ended = answer.borrow().clone();
            return ended.map_or(Entry::Running(answer), Entry::Ended);
        }
        let seen = Seen {
            request: request.clone(),
            answer: watch::Sender::new(None),
            ended: None,
        };
        self.seen.insert(name.to_owned(), seen);
        Entry::New
    }

    /// A request has ended. One that certainly did not run may be asked again, and so may an
    /// idempotent one; of a non-idempotent one the answer is kept, since it must not run again.
    pub(crate) fn end(&mut self, name: &str, answer: &Answer, now: Now) {
        let Some(seen) = self.seen.get_mut(name) else {
            return;
        };
        seen.answer.send_replace(Some(answer.clone()));
        seen.ended = Some(now);
        let final_ = matches!(answer.class(), Class::Done | Class::MayHaveRun);
        if !final_ || seen.request.idempotent {
            self.seen.remove(name);
        }
    }

    /// Forgets what has ended long ago.
    pub(crate) fn tick(&mut self, now: Now) {
        let keep = self.keep;
        self.seen
            .retain(|_, seen| seen.ended.is_none_or(|ended| now < ended + keep));
    }
}
