//! Which workers belong to which pool.
//!
//! The pattern: a deployment grows from dozens of workers to thousands. One pool packs best, but its owner hears every
//! worker and orders every start, on a share of one processor: at 3,000 workers one owner served 0.696 of the worth, six
//! served 0.883 and 0.903. So whole racks are divided over pools, and a pool is added when the others have their share.
//!
//! A rack never changes its pool: a worker with two owners would obey only the one whose epoch is higher.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Workers that name no rack are divided over this many racks of our own, by their ids: a fiftieth of the two-year size
/// of 5,100 workers each.
const UNNAMED: u64 = 64;

/// Which rack belongs to which pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Plan {
    /// Rises with every change.
    pub version: u64,
    /// How many workers each pool had when its racks were given to it.
    pub sizes: Vec<u32>,
    /// Pool of each rack.
    pub racks: BTreeMap<String, u32>,
}

impl Default for Plan {
    /// One pool without racks.
    fn default() -> Self {
        Self {
            version: 0,
            sizes: vec![0],
            racks: BTreeMap::new(),
        }
    }
}

/// The rack by which a worker is divided: its own, or one of ours if it names none.
///
/// ```
/// assert_eq!(host::plan::rack_of("r1", "w7"), "r1");
/// assert_eq!(host::plan::rack_of("", "w7"), host::plan::rack_of("", "w7"));
/// ```
#[must_use]
pub fn rack_of(rack: &str, worker: &str) -> String {
    if rack.is_empty() {
        format!("~{}", xxh3_64(worker.as_bytes()) % UNNAMED)
    } else {
        rack.to_owned()
    }
}

impl Plan {
    /// Number of pools.
    #[must_use]
    pub fn pools(&self) -> u32 {
        self.sizes.len().max(1) as u32
    }

    /// How many workers a pool had when its racks were given to it.
    #[must_use]
    pub fn size(&self, pool: u32) -> u32 {
        self.sizes.get(pool as usize).copied().unwrap_or(0)
    }

    /// The pool of a rack; `None` until it is given to one.
    #[must_use]
    pub fn pool_of(&self, rack: &str) -> Option<u32> {
        self.racks.get(rack).copied()
    }

    /// Gives racks that have no pool to pools, each to the smallest, and adds pools as far as `per_pool` workers each
    /// demand; `None` if all racks have theirs.
    ///
    /// The number of pools is rounded, so a pool has between two thirds and one and a half times `per_pool` workers when
    /// all come at once. Racks that come one by one fill the newest pool.
    #[must_use]
    pub fn extend(&self, racks: &BTreeMap<String, u32>, per_pool: u32) -> Option<Self> {
        let fresh: Vec<(&String, u32)> = racks
            .iter()
            .filter(|(rack, _)| !self.racks.contains_key(*rack))
            .map(|(rack, &workers)| (rack, workers))
            .collect();
        if fresh.is_empty() {
            return None;
        }
        let mut next = self.clone();
        next.version += 1;
        let per_pool = per_pool.max(1);
        let all: u32 =
            self.sizes.iter().sum::<u32>() + fresh.iter().map(|(_, many)| many).sum::<u32>();
        let wanted = ((all + per_pool / 2) / per_pool) as usize;
        if next.sizes.len() < wanted {
            next.sizes.resize(wanted, 0);
        }
        for (rack, workers) in fresh {
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
