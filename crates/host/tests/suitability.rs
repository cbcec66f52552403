//! Which hosts should own a pool of a given size.

use std::time::Duration;

use host::suitability::Suitability;

/// A host with half a core and a high bandwidth, and one with an eighth of a core and a low bandwidth, both near the store.
fn strong_and_weak() -> (Suitability, Suitability) {
    let strong = Suitability {
        near_store: true,
        processors: 0.5,
        link_mbps: 200.0,
        pools: 1,
    };
    let weak = Suitability {
        processors: 0.12,
        link_mbps: 10.0,
        ..strong
    };
    (strong, weak)
}

/// After a power failure of all hosts, one with an eighth of a core and 10 Mbit/s took over a pool of 350 workers. It never
/// read all jobs, and leases of long-running tasks lapsed. Such a host must come last, but may own a small pool.
#[test]
fn a_weak_host_is_the_last_choice_for_a_large_pool() {
    let (strong, weak) = strong_and_weak();
    assert!(strong.is_sufficient(350) && !weak.is_sufficient(350));
    assert!(weak.insufficiency_delay(350) > Duration::from_millis(500));
    assert!(strong.insufficiency_delay(350).is_zero());
    let far = Suitability {
        near_store: false,
        ..strong
    };
    assert!(
        far.is_clearly_better(&weak, 350),
        "a strong host in another region is better"
    );
    assert!(weak.is_sufficient(48) && weak.insufficiency_delay(48).is_zero());
}

/// A low bandwidth alone makes a host insufficient, and so do pools that it owns already.
#[test]
fn bandwidth_and_owned_pools_count() {
    let (strong, _) = strong_and_weak();
    let low_bandwidth = Suitability {
        link_mbps: 10.0,
        ..strong
    };
    assert!(!low_bandwidth.is_sufficient(350));
    let busy = Suitability { pools: 3, ..strong };
    assert!(!busy.is_sufficient(350));
}

/// Where all hosts are weak, pools must be as small as such hosts can own.
#[test]
fn pools_are_as_large_as_a_host_can_own() {
    let (strong, weak) = strong_and_weak();
    assert!(strong.capacity() >= 500);
    assert!((150..300).contains(&weak.capacity()), "{}", weak.capacity());
    assert!(weak.is_sufficient(weak.capacity()));
}
