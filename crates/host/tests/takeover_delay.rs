//! Who takes a pool first.

use std::time::Duration;

use host::takeover_delay::TakeoverDelay;

/// A small host in a deployment whose owner has named eight heirs.
fn turn() -> TakeoverDelay {
    TakeoverDelay {
        heirs: 8,
        processors: 0.25,
        ..TakeoverDelay::default()
    }
}

/// All hosts lose power and are back within the same second. The host that the row names has no owner to wait for: callers
/// were refused for 0.8 s longer, while it waited its turn as a stranger and the others waited for it to begin.
#[test]
fn the_host_of_the_row_goes_first_after_a_restart() {
    let named = TakeoverDelay {
        own: true,
        ..turn()
    };
    assert_eq!(named.wait(), Duration::ZERO);
    assert!(turn().wait() > Duration::from_millis(500));
}

/// Heirs go in their order, before all others; near hosts before far ones.
#[test]
fn heirs_go_before_strangers_and_near_hosts_before_far_ones() {
    let heir = |place| TakeoverDelay {
        place: Some(place),
        ..turn()
    };
    let far = TakeoverDelay {
        far: true,
        ..turn()
    };
    let waits = [heir(0), heir(1), heir(7), turn(), far].map(|turn| turn.wait());
    assert!(waits.is_sorted(), "{waits:?}");
}
