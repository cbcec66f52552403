//! Racks are divided among pools and never change their pool.

use std::collections::BTreeMap;

use host::PoolMap;
use proptest::prelude::*;

fn racks(from: u32, to: u32, each: u32) -> BTreeMap<String, u32> {
    (from..to).map(|rack| (format!("r{rack}"), each)).collect()
}

/// A small deployment has one pool, which packs better than several.
#[test]
fn a_small_deployment_has_one_pool() {
    let map = PoolMap::default()
        .extend(&racks(0, 44, 8), 500)
        .expect("racks without a pool");
    assert_eq!((map.pool_count(), map.racks.len(), map.version), (1, 44, 1));
    assert!(map.extend(&racks(0, 44, 8), 500).is_none(), "all have one");
}

/// Guards against one owner for 3,000 workers: it achieved 0.696 of the possible value, six owners 0.883.
#[test]
fn a_large_deployment_has_pools_of_equal_size() {
    let map = PoolMap::default()
        .extend(&racks(0, 150, 20), 500)
        .expect("racks without a pool");
    assert_eq!(map.sizes, [500; 6]);
}

/// Racks that are added one by one, over months, result in the same number of pools.
#[test]
fn pools_are_added_as_racks_are_added() {
    let mut map = PoolMap::default();
    for count in 1..=150 {
        let before = map.clone();
        map = map
            .extend(&racks(0, count, 20), 500)
            .expect("a rack without a pool");
        assert!(
            before
                .racks
                .iter()
                .all(|(rack, pool)| map.racks[rack] == *pool)
        );
    }
    let (newest, others) = map.sizes.split_last().expect("there are pools");
    assert_eq!(others.len(), 5);
    assert!(
        others.iter().all(|size| (500..=750).contains(size)),
        "{others:?}"
    );
    assert!(*newest > 0, "further racks fill it");
}

proptest! {
    /// Whatever racks are added in whatever order: no rack changes its pool, every rack has one, and versions increase by one.
    #[test]
    fn no_rack_ever_changes_its_pool(
        batches in proptest::collection::vec(proptest::collection::btree_map("[a-f]{1,2}", 1u32..60, 0..12), 1..8),
        per_pool in 1u32..300,
    ) {
        let mut map = PoolMap::default();
        for batch in batches {
            let Some(next) = map.extend(&batch, per_pool) else {
                prop_assert!(batch.keys().all(|rack| map.pool_of(rack).is_some()));
                continue;
            };
            prop_assert_eq!(next.version, map.version + 1);
            for (rack, pool) in &map.racks {
                prop_assert_eq!(next.pool_of(rack), Some(*pool));
            }
            prop_assert!(batch.keys().all(|rack| next.pool_of(rack).is_some_and(|pool| pool < next.pool_count())));
            map = next;
        }
    }
}
