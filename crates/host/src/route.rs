//! Which pool a job goes to.
//!
//! The pattern: several pools, and callers that send jobs of very unlike size to any host. By ids alone, a pool of 500
//! workers is off by a tenth of its room now and then, while another has room left. Two pools are candidates for each id,
//! by weighted rendezvous hashing, and the less loaded one gets the job; any host finds it again by its id with 1.5
//! questions on average. Jobs whose data lies in one rack, or that need a label, go where that is.
//!
//! The choice is a matter of speed only: the pool is part of the job's row, and the row's key is the job's id.

use pool::Job;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::plan::Plan;

/// The second candidate is taken if it is less loaded by this much of its room. Loads are a quarter of a second old, so
/// smaller differences would only move jobs to and fro.
const CLEARLY: f64 = 0.05;
/// A pool whose owner isn't heard counts as loaded by this much more: a takeover takes about as long as the tasks that
/// wait for this share of its room.
const UNHEARD: f64 = 0.5;

/// What the owner of a pool says of it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Its owner was heard lately.
    pub heard: bool,
    /// Work that runs and waits, as a share of its room.
    pub taken: f64,
    /// Labels of its workers.
    pub labels: Vec<String>,
}

/// The pools that a new job with this id may be in, the likelier first.
#[must_use]
pub fn candidates(plan: &Plan, id: &str) -> Vec<u32> {
    ranked(plan, id).into_iter().take(2).collect()
}

/// All pools in the order of this id's rendezvous hash.
fn ranked(plan: &Plan, id: &str) -> Vec<u32> {
    let mut pools: Vec<(f64, u32)> = plan
        .sizes
        .iter()
        .enumerate()
        .map(|(pool, &size)| {
            let hash = xxh3_64_with_seed(id.as_bytes(), pool as u64);
            // Between 0 and 1, never 0: the top 53 bits and a half.
            let even = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            (-even.ln() / f64::from(size.max(1)), pool as u32)
        })
        .collect();
    pools.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    pools.into_iter().map(|(_, pool)| pool).collect()
}

/// The pool that a job goes to which those in `been` could not serve; `None` if it was in all.
#[must_use]
pub fn next(plan: &Plan, job: &Job, been: &[u32], loads: &FxHashMap<u32, Load>) -> Option<u32> {
    let first = choose(plan, job, loads);
    let others = ranked(plan, &job.id).into_iter().chain(0..plan.pools());
    std::iter::once(first)
        .chain(others)
        .find(|pool| !been.contains(pool))
}

/// The pool that a new job goes to.
#[must_use]
pub fn choose(plan: &Plan, job: &Job, loads: &FxHashMap<u32, Load>) -> u32 {
    if plan.pools() == 1 {
        return 0;
    }
    let homes = job
        .steps
        .iter()
        .flat_map(|step| [step.data_rack.as_str(), step.label.as_str()]);
    if let Some(pool) = homes.filter_map(|rack| plan.pool_of(rack)).next() {
        return pool;
    }
    let label = job
        .steps
        .iter()
        .map(|step| step.label.as_str())
        .find(|label| !label.is_empty());
    let fit = |pool: &u32| {
        label.is_none_or(|label| {
            let load = loads.get(pool).filter(|load| load.heard);
            load.is_none_or(|load| load.labels.iter().any(|has| has == label))
        })
    };
    let mut pools = candidates(plan, &job.id);
    if !pools.iter().any(fit) {
        pools = (0..plan.pools()).collect();
    }
    pools.retain(fit);
    let taken = |pool: u32| {
        loads
            .get(&pool)
            .filter(|load| load.heard)
            .map_or(f64::NAN, |load| load.taken)
    };
    let mut best = pools.first().copied().unwrap_or(0);
    for &pool in pools.iter().skip(1) {
        let (now, other) = (taken(best), taken(pool));
        let better = match (now.is_nan(), other.is_nan()) {
            (true, false) => other < 1.0 + UNHEARD,
            (false, false) => other + CLEARLY < now,
            _ => false,
        };
        if better {
            best = pool;
        }
    }
    best
}
