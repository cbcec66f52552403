//! Which workers an advisor query names.
//!
//! The advisor's time is scarce: a query takes a fixed time and an additional time for each worker it names. Naming too few
//! workers leads to a second query with its fixed time; naming all of them wastes the additional time. So a query names as
//! many workers as give enough capacity to the waiting tasks at the observed approval rate, and a third more; and in any
//! case as many as add little to the fixed time. Answers about a step never change, so those about workers that aren't
//! needed yet are used later.

use std::cmp::Reverse;
use std::hash::BuildHasher as _;

use rustc_hash::FxBuildHasher;

use crate::job::AdvisorPolicy;
use crate::task::{Ms, WorkerId};

/// A worker that a query may name.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub worker: WorkerId,
    /// How many of the waiting tasks fit into its free capacity.
    pub fits: u32,
    /// It was allowed before, and only its ticket has expired.
    pub known: bool,
}

/// Factor by which a query exceeds what the observed approval rate demands. The rate varies from step to step by about a
/// third.
const SPARE: f64 = 1.35;

/// Workers beyond those needed may add up to this share of a query's fixed time.
const CHEAP: f64 = 0.25;

/// Number of workers that a query may name in any case: together they add little to its fixed time.
#[must_use]
pub fn cheap(advice: &AdvisorPolicy) -> usize {
    if advice.per_worker_ms > 0.0 {
        (advice.base_ms * CHEAP / advice.per_worker_ms) as usize
    } else {
        usize::MAX
    }
}

/// Time that a query about this many workers takes.
#[must_use]
pub fn takes(advice: &AdvisorPolicy, workers: usize) -> Ms {
    (advice.base_ms + advice.per_worker_ms * workers as f64) as Ms
}

/// Requirements of a query.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Number of waiting tasks.
    pub need: u32,
    /// Observed share of workers that the advisor allows.
    pub yes: f64,
    /// Maximum number of workers in the query.
    pub most: usize,
    /// Minimum number of workers in the query, if there are so many.
    pub cheap: usize,
    /// Seed of the order among equal workers. It differs from step to step, so that queries name different workers.
    pub seed: u64,
}

impl Wanted {
    /// Number of tasks that should fit on each worker, so that the smallest query is enough.
    fn each(&self) -> u32 {
        let allowed = (self.cheap as f64 * self.yes).max(1.0);
        let each = f64::from(self.need) * SPARE / allowed;
        each.ceil().max(1.0) as u32
    }

    fn draw(&self, worker: &WorkerId) -> u64 {
        FxBuildHasher.hash_one((self.seed, worker))
    }
}

/// Chooses the workers of a query: first those that were allowed before and have free capacity, then those on which as many
/// tasks fit as each should take; pseudo-randomly among equals. Several steps are queried at the same time: if all of them
/// named the workers with the most free capacity, they would get the same workers, and all but the first step would find the
/// capacity taken.
///
/// ```
/// use pool::advice::{Choice, Wanted, choose};
///
/// let all: Vec<Choice> = (0..40)
///     .map(|at| Choice { worker: format!("w{at}").into(), fits: 2, known: false })
///     .collect();
/// let wanted = Wanted { need: 4, yes: 0.5, most: 30, cheap: 0, seed: 1 };
/// assert_eq!(choose(&wanted, &all).len(), 6);
/// assert_eq!(choose(&Wanted { cheap: 17, ..wanted }, &all).len(), 17);
/// ```
#[must_use]
pub fn choose(wanted: &Wanted, choices: &[Choice]) -> Vec<WorkerId> {
    let each = wanted.each();
    let mut order: Vec<&Choice> = choices.iter().collect();
    order.sort_by_cached_key(|choice| {
        let fits = choice.fits.min(each);
        let known = choice.known && fits > 0;
        Reverse((known, fits, choice.known, wanted.draw(&choice.worker)))
    });
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for choice in order {
        let enough = expected >= f64::from(wanted.need) * SPARE || choice.fits == 0;
        if chosen.len() >= wanted.most || enough && chosen.len() >= wanted.cheap {
            break;
        }
        let yes = if choice.known { 1.0 } else { wanted.yes };
        expected += f64::from(choice.fits.min(wanted.need)) * yes;
        chosen.push(choice.worker.clone());
    }
    chosen
}
