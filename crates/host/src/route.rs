//! Choice of the pool for a job.
//!
//! Callers send jobs of very different sizes to any host. If the pool were chosen by the id alone, the load of a pool of 500
//! workers would at times be a tenth of its capacity above the mean while others have free capacity. So weighted rendezvous
//! hashing gives two candidate pools for each id, and the less loaded one gets the job; any host finds it again by its id with
//! 1.5 queries on average. Jobs whose data lies in one rack, or that need a label, go to a pool that has it.
//!
//! The choice affects latency only, not correctness: the pool is stored in the job's row, whose key is the job's id.

use pool::Job;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::pool_map::PoolMap;

/// The second candidate is preferred if its load is lower by at least this share of its capacity. Loads are up to 250 ms old, so
/// smaller differences would make the choice oscillate.
const MIN_LOAD_DIFFERENCE: f64 = 0.05;
/// A pool whose owner sent no recent heartbeat counts as overloaded by this share of its capacity: a takeover delays a job about
/// as long as a queue of this length does.
const UNKNOWN_OWNER_EXCESS: f64 = 0.5;

/// Load of a pool, as its owner reports it.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// A recent heartbeat of the owner is known.
    pub is_recent: bool,
    /// Running and waiting work, as a share of the pool's capacity.
    pub load: f64,
    /// Labels of the pool's workers.
    pub labels: Vec<String>,
}

/// The candidate pools of a new job with this id, the more likely one first.
#[must_use]
pub fn candidates(map: &PoolMap, id: &str) -> Vec<u32> {
    ranked(map, id).into_iter().take(2).collect()
}

/// All pools, ordered by the weighted rendezvous hash of this id.
fn ranked(map: &PoolMap, id: &str) -> Vec<u32> {
    let mut pools: Vec<(f64, u32)> = map
        .sizes
        .iter()
        .enumerate()
        .map(|(pool, &size)| {
            let hash = xxh3_64_with_seed(id.as_bytes(), pool as u64);
            // Uniform in (0, 1): the top 53 bits plus a half, so that the logarithm is finite.
            let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            (-uniform.ln() / f64::from(size.max(1)), pool as u32)
        })
        .collect();
    pools.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    pools.into_iter().map(|(_, pool)| pool).collect()
}

/// The next pool for a job that the pools in `tried` could not serve; `None` if it was in all of them.
#[must_use]
pub fn next_pool(
    map: &PoolMap,
    job: &Job,
    tried: &[u32],
    loads: &FxHashMap<u32, Load>,
) -> Option<u32> {
    let first = choose_pool(map, job, loads);
    let others = ranked(map, &job.id).into_iter().chain(0..map.pool_count());
    std::iter::once(first)
        .chain(others)
        .find(|pool| !tried.contains(pool))
}

/// The pool for a new job.
#[must_use]
pub fn choose_pool(map: &PoolMap, job: &Job, loads: &FxHashMap<u32, Load>) -> u32 {
    if map.pool_count() == 1 {
        return 0;
    }
    // The label of a step may be the name of a rack.
    let racks = job
        .steps
        .iter()
        .flat_map(|step| [step.data_rack.as_str(), step.label.as_str()]);
    if let Some(pool) = racks.filter_map(|rack| map.pool_of(rack)).next() {
        return pool;
    }
    let label = job
        .steps
        .iter()
        .map(|step| step.label.as_str())
        .find(|label| !label.is_empty());
    let may_have_label = |pool: &u32| {
        label.is_none_or(|label| {
            let load = loads.get(pool).filter(|load| load.is_recent);
            load.is_none_or(|load| load.labels.iter().any(|has| has == label))
        })
    };
    let mut pools = candidates(map, &job.id);
    if !pools.iter().any(may_have_label) {
        pools = (0..map.pool_count()).collect();
    }
    pools.retain(may_have_label);
    let known_load = |pool: u32| {
        loads
            .get(&pool)
            .filter(|load| load.is_recent)
            .map_or(f64::NAN, |load| load.load)
    };
    let mut best = pools.first().copied().unwrap_or(0);
    for &pool in pools.iter().skip(1) {
        let (current, other) = (known_load(best), known_load(pool));
        let better = match (current.is_nan(), other.is_nan()) {
            (true, false) => other < 1.0 + UNKNOWN_OWNER_EXCESS,
            (false, false) => other + MIN_LOAD_DIFFERENCE < current,
            _ => false,
        };
        if better {
            best = pool;
        }
    }
    best
}
