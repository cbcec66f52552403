//! What a host may conclude from an owner's heartbeat.

use host::wire::Heartbeat;

fn heartbeat(catalog: u64, echoed_at: u64, catalog_age: u64) -> Heartbeat {
    Heartbeat {
        catalog,
        echoed_at,
        catalog_age,
        store_available: true,
        ..Heartbeat::default()
    }
}

/// Guards against a delayed heartbeat that makes an old configuration look current.
#[test]
fn a_heartbeat_confirms_the_configuration_as_of_the_echoed_time() {
    assert_eq!(heartbeat(7, 10_000, 400).confirmed_at(7), Some(9_600));
    assert_eq!(heartbeat(7, 200, 400).confirmed_at(7), Some(0));
}

/// Guards against owners that the store serves but that have another version, or don't know whether theirs is the newest.
#[test]
fn only_an_owner_with_the_newest_version_confirms() {
    assert_eq!(heartbeat(8, 10_000, 0).confirmed_at(7), None);
    assert_eq!(heartbeat(6, 10_000, 0).confirmed_at(7), None);
    assert_eq!(heartbeat(0, 10_000, 0).confirmed_at(0), None);
    assert_eq!(heartbeat(7, 0, 0).confirmed_at(7), None);
    assert_eq!(heartbeat(7, 10_000, u64::MAX).confirmed_at(7), Some(0));
}
