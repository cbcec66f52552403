//! The order in which hosts take over a pool.

use std::time::Duration;

use host::takeover_delay::TakeoverDelay;

/// A host with a quarter of a processor, for a pool whose owner has named eight successors.
fn small_host() -> TakeoverDelay {
    TakeoverDelay {
        successors: 8,
        processors: 0.25,
        ..TakeoverDelay::default()
    }
}

/// All hosts lose power and are back within the same second. The host that the row names has no owner to wait for. It used to
/// wait as long as any other host, while the others waited for it to start: callers were refused for 0.8 s longer.
#[test]
fn the_former_owner_takes_over_first_after_a_restart() {
    let former_owner = TakeoverDelay {
        is_former_owner: true,
        ..small_host()
    };
    assert_eq!(former_owner.total(), Duration::ZERO);
    assert!(small_host().total() > Duration::from_millis(500));
}

/// Successors take over in their order, before all other hosts, and hosts near the store before remote ones.
#[test]
fn successors_precede_other_hosts_and_near_hosts_precede_remote_ones() {
    let successor = |index| TakeoverDelay {
        successor_index: Some(index),
        ..small_host()
    };
    let remote = TakeoverDelay {
        remote: true,
        ..small_host()
    };
    let delays = [
        successor(0),
        successor(1),
        successor(7),
        small_host(),
        remote,
    ]
    .map(|delay| delay.total());
    assert!(delays.is_sorted(), "{delays:?}");
}
