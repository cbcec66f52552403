//! Quick requests of one rack: who waits, and which keys are worked on.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use resource::id;
use worker::call::Moment;

use crate::Now;

/// Names a waiting request within its rack.
pub type Ticket = u64;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Start this request.
    Start(QuickRun),
    /// Nothing can start now.
    Idle,
}

/// A request that has a worker and its key to itself.
#[derive(Clone, Debug, PartialEq)]
pub struct QuickRun {
    /// The request.
    pub ticket: Ticket,
    /// Service and key.
    pub key: String,
    /// The worker.
    pub worker: id::Worker,
    /// The worker's life.
    pub incarnation: id::Incarnation,
    /// The worker's address.
    pub address: String,
    /// The epoch to say.
    pub epoch: id::Epoch,
    /// Number of the attempt; rises within the epoch.
    pub attempt: u64,
    /// Last moment, by the worker's time, at which it may start.
    pub not_after: Moment,
    /// The same by the owner's time, on the late side.
    pub start_deadline: Now,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RunOutcome {
    /// It is certainly over; whether the worker failed it.
    Known {
        /// Whether the worker failed it.
        failed: bool,
    },
    /// It was turned away before it started.
    Refused,
    /// It may still run, at most this long after its latest start.
    Unknown {
        /// Longest run.
        max_run: Duration,
    },
}

/// Weight of one run in the usual run time.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Usual run time before any was seen, in seconds.
const INITIAL_RUN_SECS: f64 = 0.010;

/// The waiting requests, by rank and age, and the keys that are worked on.
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

/// Who works on a key, and who waits for it.
#[derive(Debug, Default)]
struct KeyState {
    /// Set if it is not known who: free at this time.
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

    /// How long a new request would wait if `slots` run at once.
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

    /// Takes a request out; `false` if it does not wait any more.
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

    /// The first request whose key is free, with its key and deadline; the key is taken.
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

    /// A run on this key has ended after `took`, if that is known.
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

    /// Something may work on this key until then.
    pub(crate) fn block_key(&mut self, key: &str, until: Now) {
        let state = self.keys.entry(key.to_owned()).or_default();
        state.blocked_until = Some(state.blocked_until.map_or(until, |u| u.max(until)));
    }

    /// Frees keys whose time has come.
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
