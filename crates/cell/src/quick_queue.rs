//! Queue of the quick requests of one rack, and the keys that are in use.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use resource::id;
use worker::call::Moment;

use crate::Now;

/// Identifies a waiting request within its rack.
pub type Ticket = u64;

/// Result of asking for the next request to start.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Start this request.
    Start(QuickRun),
    /// No request can start now.
    Idle,
}

/// A request that has been given a worker and exclusive use of its key.
#[derive(Clone, Debug, PartialEq)]
pub struct QuickRun {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Service and key.
    pub key: String,
    /// Name of the worker.
    pub worker: id::Worker,
    /// Incarnation of the worker.
    pub incarnation: id::Incarnation,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// Epoch to send with the request.
    pub epoch: id::Epoch,
    /// Number of the attempt; increases within an epoch.
    pub attempt: u64,
    /// Latest moment, by the worker's clock, at which it may start.
    pub not_after: Moment,
    /// Upper bound on that moment, by the owner's clock.
    pub start_deadline: Now,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunOutcome {
    /// The run is certainly over.
    Known {
        /// Whether the worker failed it.
        failed: bool,
    },
    /// The worker rejected it before it started.
    Refused,
    /// It may still be running, for at most `max_run` after its start deadline.
    Unknown {
        /// Longest time that the run can take.
        max_run: Duration,
    },
}

/// Weight of one run in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Assumed mean run time before the first run, in seconds.
const INITIAL_RUN_SECS: f64 = 0.010;

/// The waiting requests, ordered by rank and age, and the keys that are in use.
#[derive(Debug)]
pub(crate) struct QuickQueue {
    ready: BTreeSet<(Reverse<u8>, Ticket)>,
    waiting: HashMap<Ticket, Waiting>,
    keys: HashMap<String, KeyState>,
    last_ticket: Ticket,
    mean_run_secs: f64,
}

#[derive(Debug)]
struct Waiting {
    rank: u8,
    key: String,
    expires: Now,
}

/// The requests that wait for a key that is in use.
#[derive(Debug, Default)]
struct KeyState {
    /// When the key is certainly free. Set if it is not known whether a run still uses the key.
    blocked_until: Option<Now>,
    waiters: VecDeque<Ticket>,
}

impl Default for QuickQueue {
    fn default() -> Self {
        Self {
            ready: BTreeSet::new(),
            waiting: HashMap::new(),
            keys: HashMap::new(),
            last_ticket: 0,
            mean_run_secs: INITIAL_RUN_SECS,
        }
    }
}

impl QuickQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// How long a new request is expected to wait if `slots` requests run at once.
    pub(crate) fn expected_wait(&self, slots: u32) -> Duration {
        let ahead = self.waiting.len() as f64;
        Duration::from_secs_f64(ahead * self.mean_run_secs / f64::from(slots.max(1)))
    }

    pub(crate) fn enqueue(&mut self, rank: u8, key: &str, expires: Now) -> Ticket {
        self.last_ticket += 1;
        let waiting = Waiting {
            rank,
            key: key.to_owned(),
            expires,
        };
        self.waiting.insert(self.last_ticket, waiting);
        self.ready.insert((Reverse(rank), self.last_ticket));
        self.last_ticket
    }

    /// Removes a request from the queue; `false` if it no longer waits.
    pub(crate) fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.ready.remove(&(Reverse(waiting.rank), ticket));
        if let Some(state) = self.keys.get_mut(&waiting.key) {
            state.waiters.retain(|t| *t != ticket);
        }
        true
    }

    /// Removes the first request whose key is free and marks the key as in use. Returns the ticket,
    /// the key and the time at which the request expires.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, String, Now)> {
        while let Some(first) = self.ready.pop_first() {
            let ticket = first.1;
            let Some(waiting) = self.waiting.get(&ticket) else {
                continue;
            };
            if let Some(state) = self.keys.get_mut(&waiting.key) {
                state.waiters.push_back(ticket);
                continue;
            }
            let waiting = self.waiting.remove(&ticket)?;
            self.keys.insert(waiting.key.clone(), KeyState::default());
            return Some((ticket, waiting.key, waiting.expires));
        }
        None
    }

    /// Frees a key after its run has ended; `took` is the run time, if known.
    pub(crate) fn release(&mut self, key: &str, took: Option<Duration>) {
        if let Some(took) = took {
            self.mean_run_secs += RUN_TIME_WEIGHT * (took.as_secs_f64() - self.mean_run_secs);
        }
        let Some(state) = self.keys.remove(key) else {
            return;
        };
        for ticket in state.waiters {
            if let Some(waiting) = self.waiting.get(&ticket) {
                self.ready.insert((Reverse(waiting.rank), ticket));
            }
        }
    }

    /// Marks a key as possibly in use until `until`.
    pub(crate) fn block_key(&mut self, key: &str, until: Now) {
        let state = self.keys.entry(key.to_owned()).or_default();
        state.blocked_until = Some(state.blocked_until.map_or(until, |u| u.max(until)));
    }

    /// Frees the keys that were blocked until `now` or earlier.
    pub(crate) fn unblock_expired(&mut self, now: Now) {
        let due = |h: &KeyState| h.blocked_until.is_some_and(|until| until <= now);
        let due: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, h)| due(h))
            .map(|(k, _)| k.clone())
            .collect();
        for key in due {
            self.release(&key, None);
        }
    }
}
