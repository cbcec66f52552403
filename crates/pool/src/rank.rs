//! The order in which waiting work is served.
//!
//! The order matters when demand exceeds capacity. A job has its full value until its objective, little value up to
//! three times the objective, and none after that. So work that can still have value goes before work that can't, whatever
//! its queue; then what its customer is owed before what the customer sends beyond that; then the queue's priority decides;
//! then whether the customer uses more than its share; then whether the work can still meet its objective; then the smaller
//! remaining work, which has the most value for the capacity it takes. Work without value goes last and is never dropped.

use rustc_hash::FxHashMap;

use crate::mechanism::{Mechanism, Switches};
use crate::task::Ms;

/// A job has no value if it takes longer than this many times its objective.
pub const MAX_OBJECTIVE_RATIO: u64 = 3;
/// Weight of the newest observation in exponential moving averages: about the last ten observations count. Task durations
/// have a fifth of this weight.
const EMA_WEIGHT: f64 = 0.1;

/// Rank of waiting work; the smallest goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// It can no longer have any value, as it will exceed [`MAX_OBJECTIVE_RATIO`] times its objective.
    pub hopeless: bool,
    /// Its customer has sent more jobs a second than it is owed.
    pub beyond_share: bool,
    /// The queue's priority, 0 first.
    pub priority: u32,
    /// What its customer uses relative to its weight, in steps; 0 if that is less than the customer's share.
    pub excess: u32,
    /// It can no longer meet its objective.
    pub late: bool,
    /// Remaining work: the capacity that it takes, in the dimension in which it takes the largest share, times its
    /// duration.
    pub work: u64,
}

impl Rank {
    /// The same rank without the components whose mechanisms are disabled.
    #[must_use]
    pub(crate) fn without(self, switches: &Switches) -> Self {
        let mut rank = Self::default();
        if switches.has(Mechanism::OrderHopeless) {
            rank.hopeless = self.hopeless;
        }
        if switches.has(Mechanism::OrderPriority) {
            rank.priority = self.priority;
        }
        if switches.has(Mechanism::ShareOwed) {
            rank.beyond_share = self.beyond_share;
        }
        if switches.has(Mechanism::ShareUse) {
            rank.excess = self.excess;
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

/// The inputs of [`rank`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RankInput {
    /// The queue's priority, 0 first.
    pub priority: u32,
    /// Time since the job was accepted or its occurrence was due.
    pub age: Ms,
    /// Time in which the job should be completed.
    pub objective: Ms,
    /// Expected time until the job is completed: the longest chain of steps from here on.
    pub chain: Ms,
    /// Remaining work, as in [`Rank::work`].
    pub work: u64,
    /// The job runs until it is cancelled, so it has no deadline.
    pub long_running: bool,
    /// As in [`Rank::beyond_share`].
    pub beyond_share: bool,
    /// As in [`Rank::excess`].
    pub excess: u32,
}

/// Ranks waiting work.
///
/// ```
/// use pool::rank::{RankInput, rank};
///
/// let new = RankInput { age: 100, objective: 2_000, chain: 800, ..RankInput::default() };
/// let hopeless = RankInput { age: 9_000, ..new };
/// assert!(rank(&new) < rank(&hopeless));
/// ```
#[must_use]
pub fn rank(input: &RankInput) -> Rank {
    let end = input.age.saturating_add(input.chain);
    Rank {
        hopeless: !input.long_running && end > input.objective.saturating_mul(MAX_OBJECTIVE_RATIO),
        beyond_share: input.beyond_share,
        priority: input.priority,
        excess: input.excess,
        late: !input.long_running && end > input.objective,
        work: input.work,
    }
}

/// Observed task durations and advisor answers, per queue.
#[derive(Clone, Debug, Default)]
pub struct QueueStats {
    duration_ratios: FxHashMap<String, f64>,
    approval_rates: FxHashMap<String, f64>,
}

impl QueueStats {
    /// Records how long a task of a queue took, and its estimate.
    pub fn record_duration(&mut self, queue: &str, duration: Ms, estimate: Ms) {
        let ratio = (duration as f64 / estimate.max(1) as f64).clamp(0.1, 10.0);
        let mean = self.duration_ratios.entry(queue.to_owned()).or_insert(1.0);
        *mean += EMA_WEIGHT * 0.2 * (ratio - *mean);
    }

    /// Average ratio of observed to estimated duration of a queue's tasks.
    #[must_use]
    pub fn duration_ratio(&self, queue: &str) -> f64 {
        self.duration_ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Records an advisor answer: how many workers were in the query, and how many of them it allowed.
    pub fn record_answer(&mut self, queue: &str, queried: usize, allowed: usize) {
        let share = allowed as f64 / queried.max(1) as f64;
        let mean = self.approval_rates.entry(queue.to_owned()).or_insert(share);
        *mean += EMA_WEIGHT * (share - *mean);
    }

    /// Average share of workers that the advisor allows for a step of this queue.
    #[must_use]
    pub fn approval_rate(&self, queue: &str) -> f64 {
        self.approval_rates
            .get(queue)
            .copied()
            .unwrap_or(0.5)
            .max(0.05)
    }
}
