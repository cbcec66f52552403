//! Who goes first.
//!
//! Answers the load in which more is wanted than there is room for. A job earns fully until its objective, little up
//! to three times that, nothing later. So work that can still earn goes before work that can't, whatever its queue;
//! then the queue's priority counts; then whether it is still within its objective; then the smaller rest of work,
//! which earns most for the room it takes. Work that can't earn any more goes last and is never dropped.

use rustc_hash::FxHashMap;

use crate::mechanism::{Mechanism, Switches};
use crate::task::Ms;

/// A job earns nothing when it takes longer than this many times its objective.
pub const LATE_MOST: u64 = 3;
/// Weight of the newest observation in running means: some ten observations decide.
const NEWEST: f64 = 0.1;

/// Place in the order; the smaller goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// It can't earn any more.
    pub hopeless: bool,
    /// The queue's priority, 0 first.
    pub priority: u32,
    /// It can't meet its objective any more.
    pub late: bool,
    /// Work that is left: room that it takes, in the dimension in which it takes most, times time.
    pub work: u64,
}

impl Rank {
    /// The same without the parts that are switched off.
    #[must_use]
    pub(crate) fn without(self, switches: &Switches) -> Self {
        let mut rank = Self::default();
        if switches.has(Mechanism::OrderHopeless) {
            rank.hopeless = self.hopeless;
        }
        if switches.has(Mechanism::OrderPriority) {
            rank.priority = self.priority;
        }
        if switches.has(Mechanism::OrderLate) {
            rank.late = self.late;
        }
        if switches.has(Mechanism::OrderWork) {
            rank.work = self.work;
        }
        rank
    }
}

/// What the order depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claim {
    /// The queue's priority, 0 first.
    pub priority: u32,
    /// Time since it was accepted or due.
    pub age: Ms,
    /// Its objective.
    pub objective: Ms,
    /// Longest chain of work that is left.
    pub chain: Ms,
    /// Work that is left, as in [`Rank::work`].
    pub work: u64,
    /// It runs until it is cancelled.
    pub lasting: bool,
}

/// Ranks a claim.
///
/// ```
/// use pool::rank::{Claim, rank};
///
/// let fresh = Claim { age: 100, objective: 2_000, chain: 800, ..Claim::default() };
/// let lost = Claim { age: 9_000, ..fresh };
/// assert!(rank(&fresh) < rank(&lost));
/// ```
#[must_use]
pub fn rank(claim: &Claim) -> Rank {
    let end = claim.age + claim.chain;
    Rank {
        hopeless: !claim.lasting && end > claim.objective * LATE_MOST,
        priority: claim.priority,
        late: !claim.lasting && end > claim.objective,
        work: claim.work,
    }
}

/// Observed durations and answers, per queue.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    scale: FxHashMap<String, f64>,
    yes: FxHashMap<String, f64>,
}

impl Learned {
    /// A task of a queue took this long against its estimate.
    pub fn took(&mut self, queue: &str, took: Ms, estimate: Ms) {
        let ratio = (took as f64 / estimate.max(1) as f64).clamp(0.1, 10.0);
        let mean = self.scale.entry(queue.to_owned()).or_insert(1.0);
        *mean += NEWEST * 0.2 * (ratio - *mean);
    }

    /// Observed duration against the estimate.
    #[must_use]
    pub fn scale(&self, queue: &str) -> f64 {
        self.scale.get(queue).copied().unwrap_or(1.0)
    }

    /// Of this many workers asked about, this many were allowed.
    pub fn advised(&mut self, queue: &str, asked: usize, allowed: usize) {
        let share = allowed as f64 / asked.max(1) as f64;
        let mean = self.yes.entry(queue.to_owned()).or_insert(share);
        *mean += NEWEST * (share - *mean);
    }

    /// Share of workers that the advisor allows for a step of this queue.
    #[must_use]
    pub fn yes(&self, queue: &str) -> f64 {
        self.yes.get(queue).copied().unwrap_or(0.5).max(0.05)
    }
}
