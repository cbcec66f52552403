//! The pool map: assignment of racks, and so of workers, to pools.
//!
//! Deployments have from dozens to thousands of workers. A single pool packs tasks best, but its owner polls every worker and
//! commands every start with a share of one processor: with 3,000 workers, one owner achieved 0.696 of the possible value, six
//! owners 0.883 and 0.903. So whole racks are divided among pools, and a pool is added when the others have reached their size.
//!
//! A rack never changes its pool: of two owners, a worker obeys only the one with the higher epoch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of virtual racks for workers that name no rack, which are assigned to them by id. With 5,100 workers, the size expected
/// in two years, each has about 80 workers.
const VIRTUAL_RACKS: u64 = 64;

/// The pool of each rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PoolMap {
    /// Increases with every change.
    pub version: u64,
    /// Number of workers that each pool's racks had when they were assigned to it.
    pub sizes: Vec<u32>,
    /// Pool by rack.
    pub racks: BTreeMap<String, u32>,
}

impl Default for PoolMap {
    /// A single pool without racks.
    fn default() -> Self {
        Self {
            version: 0,
            sizes: vec![0],
            racks: BTreeMap::new(),
        }
    }
}

/// The rack that decides the pool of a worker: its own, or a virtual one if it names none.
///
/// ```
/// assert_eq!(host::pool_map::rack_of("r1", "w7"), "r1");
/// assert_eq!(host::pool_map::rack_of("", "w7"), host::pool_map::rack_of("", "w7"));
/// ```
#[must_use]
pub fn rack_of(rack: &str, worker: &str) -> String {
    if rack.is_empty() {
        format!("~{}", xxh3_64(worker.as_bytes()) % VIRTUAL_RACKS)
    } else {
        rack.to_owned()
    }
}

impl PoolMap {
    /// Number of pools.
    #[must_use]
    pub fn pool_count(&self) -> u32 {
        self.sizes.len().max(1) as u32
    }

    /// Number of workers that a pool's racks had when they were assigned to it.
    #[must_use]
    pub fn size(&self, pool: u32) -> u32 {
        self.sizes.get(pool as usize).copied().unwrap_or(0)
    }

    /// A pool's share of all workers: its size, and the sum of all sizes. A map without workers gives the whole to pool 0.
    #[must_use]
    pub fn share(&self, pool: u32) -> (u32, u32) {
        let all: u32 = self.sizes.iter().sum();
        if all == 0 {
            return (u32::from(pool == 0), 1);
        }
        (self.size(pool), all)
    }

    /// The pool of a rack; `None` until it is assigned to one.
    #[must_use]
    pub fn pool_of(&self, rack: &str) -> Option<u32> {
        self.racks.get(rack).copied()
    }

    /// Assigns racks without a pool, given with their numbers of workers: each goes to the smallest pool. Adds pools so that each
    /// has about `per_pool` workers. Returns `None` if every rack has a pool already.
    ///
    /// The number of pools is rounded, so a pool has between two thirds and one and a half times `per_pool` workers if all racks
    /// are assigned at once. Racks that appear one by one fill the newest pool.
    #[must_use]
    pub fn extend(&self, racks: &BTreeMap<String, u32>, per_pool: u32) -> Option<Self> {
        let unassigned: Vec<(&String, u32)> = racks
            .iter()
            .filter(|(rack, _)| !self.racks.contains_key(*rack))
            .map(|(rack, &workers)| (rack, workers))
            .collect();
        if unassigned.is_empty() {
            return None;
        }
        let mut next = self.clone();
        next.version += 1;
        let per_pool = per_pool.max(1);
        let total: u32 = self.sizes.iter().sum::<u32>()
            + unassigned.iter().map(|(_, workers)| workers).sum::<u32>();
        let pools = ((total + per_pool / 2) / per_pool) as usize;
        if next.sizes.len() < pools {
            next.sizes.resize(pools, 0);
        }
        for (rack, workers) in unassigned {
            let smallest = (0..next.sizes.len()).min_by_key(|&pool| next.sizes[pool]);
            let pool = smallest.unwrap_or(0);
            if let Some(size) = next.sizes.get_mut(pool) {
                *size += workers;
            }
            next.racks.insert(rack.clone(), pool as u32);
        }
        Some(next)
    }
}
