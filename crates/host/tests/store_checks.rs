//! Checks of the store by hosts that make no other calls to it.

use std::time::Duration;

use host::store_checks::StoreChecks;

/// Calls a second of this many hosts that each check at this interval.
fn calls_per_s(hosts: u32, interval: Duration) -> f64 {
    f64::from(hosts) / interval.as_secs_f64()
}

/// Guards against calls of the store that grow with the hosts although none of them has work.
#[test]
fn checks_do_not_grow_with_the_fleet() {
    let calls = |hosts| calls_per_s(hosts, StoreChecks::interval(hosts));
    for hosts in [150, 300, 600] {
        let (small, large) = (calls(hosts), calls(4 * hosts));
        assert!(
            large <= small * 2.0,
            "{hosts} hosts: {small} and four times as many: {large} a second"
        );
    }
    for hosts in [121, 588, 1_176] {
        assert!(calls(hosts) <= 60.1, "{hosts} hosts");
    }
}

/// A small deployment notices a silent store as soon as before.
#[test]
fn few_hosts_check_often() {
    for hosts in [0, 1, 9, 40, 101] {
        assert_eq!(StoreChecks::interval(hosts), Duration::from_secs(2));
        assert_eq!(StoreChecks::retry_delay(hosts), Duration::from_millis(400));
    }
}

/// Guards against a host that takes the store for lost while its poll still waits: the validity of an answer has to be longer than
/// the wait of the poll that follows, whatever the size of the fleet is and however it changes.
#[test]
fn an_answer_counts_until_the_next_one_is_due() {
    let checks = StoreChecks::default();
    for hosts in [0, 588, 9, 100_000, 40] {
        let interval = StoreChecks::interval(hosts);
        checks.begin(interval);
        assert!(Duration::from_millis(checks.validity()) > interval + Duration::from_millis(400));
    }
}
