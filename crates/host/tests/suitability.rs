//! Which hosts may own a pool of some size.

use std::time::Duration;

use host::suitability::Suitability;

/// A host of half a core on a good line, one of an eighth on a thin line, both near the store.
fn posts() -> (Suitability, Suitability) {
    let strong = Suitability {
        near: true,
        processors: 0.5,
        line: 200.0,
        pools: 1,
    };
    let weak = Suitability {
        processors: 0.12,
        line: 10.0,
        ..strong
    };
    (strong, weak)
}

/// All hosts are back from a loss of power. One of an eighth of a core on a line of 10 Mbit/s took a pool of 350 workers, never
/// knew the jobs, and leases of lasting tasks lapsed. It comes last, and a small pool is as well in its hands.
#[test]
fn a_weak_host_is_the_last_choice_for_a_large_pool() {
    let (strong, weak) = posts();
    assert!(strong.suits(350) && !weak.suits(350));
    assert!(weak.wait(350) > Duration::from_millis(500));
    assert!(strong.wait(350).is_zero());
    let far = Suitability {
        near: false,
        ..strong
    };
    assert!(
        far.better(&weak, 350),
        "a strong host in another region is better"
    );
    assert!(weak.suits(48) && weak.wait(48).is_zero());
}

/// A thin line alone makes a host weak, and so do pools that it has already.
#[test]
fn line_and_pools_count() {
    let (strong, _) = posts();
    let thin = Suitability {
        line: 10.0,
        ..strong
    };
    assert!(!thin.suits(350));
    let busy = Suitability { pools: 3, ..strong };
    assert!(!busy.suits(350));
}

/// Where all hosts are weak, pools are as small as they can own.
#[test]
fn pools_are_as_large_as_a_host_can_own() {
    let (strong, weak) = posts();
    assert!(strong.capacity() >= 500);
    assert!((150..300).contains(&weak.capacity()), "{}", weak.capacity());
    assert!(weak.suits(weak.capacity()));
}
