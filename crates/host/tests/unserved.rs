//! The store turns the owner's host away.

use host::unserved::{Candidate, Unserved};

const REFUSED: Unserved = Unserved {
    since: 10_000,
    refused: true,
};

/// A host that the store has served for long, and answered last then.
fn served(answered: u64) -> Candidate {
    Candidate {
        served: Some(1_000),
        answered,
    }
}

/// Guards against a pool that stores nothing for 0.9 s though another host could have it: a third of the quick checks of that time
/// were late.
#[test]
fn an_owner_that_is_turned_away_gives_the_pool_up_at_once() {
    assert!(REFUSED.gives_up(10_250));
    assert!(REFUSED.takes(10_250, &served(10_120)));
}

/// Guards against a pool that changes hands when the store refuses all hosts: one host is always the last to notice.
#[test]
fn nobody_gets_the_pool_at_the_beginning_of_an_outage() {
    for answered in [9_000, 9_999, 10_040] {
        assert!(!REFUSED.takes(10_250, &served(answered)));
    }
}

/// Guards against a pool that changes hands when an outage ends: one host is always the first to notice.
#[test]
fn nobody_gets_the_pool_at_the_end_of_an_outage() {
    let first = Candidate {
        served: Some(14_000),
        answered: 14_050,
    };
    assert!(!REFUSED.takes(14_060, &first));
}

/// Guards against a pool that is given away for a single answer that takes long.
#[test]
fn answers_that_do_not_come_are_awaited() {
    let silent = Unserved {
        refused: false,
        ..REFUSED
    };
    assert!(!silent.gives_up(10_700));
    assert!(silent.gives_up(10_900));
    assert!(silent.takes(10_900, &served(9_500)));
}

/// Guards against a full line that is taken for a refusal: a connection that can't be made has done nothing either, and the next
/// owner's line is no better.
#[test]
fn a_connection_that_was_not_made_is_no_refusal() {
    let refused = Unserved::note(None, 10_000, 10_020, true);
    assert_eq!(refused, REFUSED);
    let again = Unserved::note(Some(refused), 10_100, 10_130, true);
    assert_eq!(again, REFUSED, "it counts from the first one");
    let slow = Unserved::note(Some(refused), 10_100, 10_500, true);
    assert!(!slow.refused);
    assert!(!Unserved::note(Some(slow), 10_600, 10_610, true).refused);
}
