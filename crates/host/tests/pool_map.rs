//! Racks are divided over pools, and never change theirs.

use std::collections::BTreeMap;

use host::PoolMap;
use proptest::prelude::*;

fn racks(from: u32, to: u32, each: u32) -> BTreeMap<String, u32> {
    (from..to).map(|rack| (format!("r{rack}"), each)).collect()
}

/// A small deployment has one pool: it packs better than several.
#[test]
fn a_small_deployment_has_one_pool() {
    let plan = PoolMap::default()
        .extend(&racks(0, 44, 8), 500)
        .expect("racks without a pool");
    assert_eq!(
        (plan.pool_count(), plan.racks.len(), plan.version),
        (1, 44, 1)
    );
    assert!(plan.extend(&racks(0, 44, 8), 500).is_none(), "all have one");
}

/// A single owner of 3,000 workers served 0.696 of the worth where six served 0.883.
#[test]
fn a_large_deployment_has_pools_of_like_size() {
    let plan = PoolMap::default()
        .extend(&racks(0, 150, 20), 500)
        .expect("racks without a pool");
    assert_eq!(plan.sizes, [500; 6]);
}

/// Racks that come one by one, over months, make the same number of pools.
#[test]
fn pools_are_added_as_racks_come() {
    let mut plan = PoolMap::default();
    for many in 1..=150 {
        let before = plan.clone();
        plan = plan
            .extend(&racks(0, many, 20), 500)
            .expect("a rack without a pool");
        assert!(
            before
                .racks
                .iter()
                .all(|(rack, pool)| plan.racks[rack] == *pool)
        );
    }
    let (newest, others) = plan.sizes.split_last().expect("there are pools");
    assert_eq!(others.len(), 5);
    assert!(
        others.iter().all(|size| (500..=750).contains(size)),
        "{others:?}"
    );
    assert!(*newest > 0, "it is filled by the racks to come");
}

proptest! {
    /// Whatever comes in whatever order: no rack changes its pool, none is left without, versions rise by one.
    #[test]
    fn no_rack_ever_changes_its_pool(
        batches in proptest::collection::vec(proptest::collection::btree_map("[a-f]{1,2}", 1u32..60, 0..12), 1..8),
        per_pool in 1u32..300,
    ) {
        let mut plan = PoolMap::default();
        for batch in batches {
            let Some(next) = plan.extend(&batch, per_pool) else {
                prop_assert!(batch.keys().all(|rack| plan.pool_of(rack).is_some()));
                continue;
            };
            prop_assert_eq!(next.version, plan.version + 1);
            for (rack, pool) in &plan.racks {
                prop_assert_eq!(next.pool_of(rack), Some(*pool));
            }
            prop_assert!(batch.keys().all(|rack| next.pool_of(rack).is_some_and(|pool| pool < next.pool_count())));
            plan = next;
        }
    }
}
