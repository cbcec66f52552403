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
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// How many of the waiting tasks fit into its free capacity.
    pub fits: u32,
    /// It was allowed before, and only its ticket has expired.
    pub allowed_before: bool,
}

/// Factor by which a query exceeds what the observed approval rate demands. The rate varies from step to step by about a
/// third.
const OVERSHOOT: f64 = 1.35;

/// Workers beyond those needed may add up to this share of a query's fixed time.
const EXTRA_TIME_SHARE: f64 = 0.25;

/// Number of workers that a query may name in any case: together they add little to its fixed time.
#[must_use]
pub fn min_query_size(policy: &AdvisorPolicy) -> usize {
    if policy.per_worker_ms > 0.0 {
        (policy.base_ms * EXTRA_TIME_SHARE / policy.per_worker_ms) as usize
    } else {
        usize::MAX
    }
}

/// Time that a query about this many workers takes.
#[must_use]
pub fn query_duration(policy: &AdvisorPolicy, workers: usize) -> Ms {
    (policy.base_ms + policy.per_worker_ms * workers as f64) as Ms
}

/// Requirements of a query.
#[derive(Clone, Copy, Debug)]
pub struct Requirements {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Observed share of workers that the advisor allows.
    pub approval_rate: f64,
    /// Maximum number of workers in the query.
    pub max_workers: usize,
    /// Minimum number of workers in the query, if there are so many.
    pub min_workers: usize,
    /// Seed of the order among equal workers. It differs from step to step, so that queries name different workers.
    pub seed: u64,
}

impl Requirements {
    /// Number of tasks that should fit on each worker, so that the smallest query is enough.
    fn tasks_per_worker(&self) -> u32 {
        let approved = (self.min_workers as f64 * self.approval_rate).max(1.0);
        let each = f64::from(self.tasks) * OVERSHOOT / approved;
        each.ceil().max(1.0) as u32
    }

    fn tie_breaker(&self, worker: &WorkerId) -> u64 {
        FxBuildHasher.hash_one((self.seed, worker))
    }
}

/// Chooses the workers of a query: first those that were allowed before and have free capacity, then those on which as many
/// tasks fit as each should take; pseudo-randomly among equals. Queries about several steps are in flight at the same time: if
/// all of them named the workers with the most free capacity, the steps would get tickets for the same workers, and all but the
/// first would find the capacity taken.
///
/// ```
/// use pool::advice::{Candidate, Requirements, choose_workers};
///
/// let all: Vec<Candidate> = (0..40)
///     .map(|index| Candidate { worker: format!("w{index}").into(), fits: 2, allowed_before: false })
///     .collect();
/// let required = Requirements { tasks: 4, approval_rate: 0.5, max_workers: 30, min_workers: 0, seed: 1 };
/// assert_eq!(choose_workers(&required, &all).len(), 6);
/// assert_eq!(choose_workers(&Requirements { min_workers: 17, ..required }, &all).len(), 17);
/// ```
#[must_use]
pub fn choose_workers(required: &Requirements, candidates: &[Candidate]) -> Vec<WorkerId> {
    let each = required.tasks_per_worker();
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by_cached_key(|candidate| {
        let fits = candidate.fits.min(each);
        let usable = candidate.allowed_before && fits > 0;
        Reverse((
            usable,
            fits,
            candidate.allowed_before,
            required.tie_breaker(&candidate.worker),
        ))
    });
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for candidate in sorted {
        let enough = expected >= f64::from(required.tasks) * OVERSHOOT || candidate.fits == 0;
        if chosen.len() >= required.max_workers || enough && chosen.len() >= required.min_workers {
            break;
        }
        let approval = if candidate.allowed_before {
            1.0
        } else {
            required.approval_rate
        };
        expected += f64::from(candidate.fits.min(required.tasks)) * approval;
        chosen.push(candidate.worker.clone());
    }
    chosen
}
