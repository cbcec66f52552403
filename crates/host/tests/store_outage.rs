//! The store turns the owner's host away.

use host::store_outage::{Candidate, StoreOutage};

const REFUSED: StoreOutage = StoreOutage {
    since: 10_000,
    only_refusals: true,
};

/// A host that the store has served for long, and answered last then.
fn served(answered: u64) -> Candidate {
    Candidate {
        available_since: Some(1_000),
        last_answer: answered,
    }
}

/// Guards against a pool that stores nothing for 0.9 s though another host could have it: a third of the quick checks of that time
/// were late.
#[test]
fn an_owner_that_is_turned_away_gives_the_pool_up_at_once() {
    assert!(REFUSED.warrants_handover(10_250));
    assert!(REFUSED.can_take_over(10_250, &served(10_120)));
}

/// Guards against a pool that changes hands when the store refuses all hosts: one host is always the last to notice.
#[test]
fn nobody_gets_the_pool_at_the_beginning_of_an_outage() {
    for answered in [9_000, 9_999, 10_040] {
        assert!(!REFUSED.can_take_over(10_250, &served(answered)));
    }
}

/// Guards against a pool that changes hands when an outage ends: one host is always the first to notice.
#[test]
fn nobody_gets_the_pool_at_the_end_of_an_outage() {
    let first = Candidate {
        available_since: Some(14_000),
        last_answer: 14_050,
    };
    assert!(!REFUSED.can_take_over(14_060, &first));
}

/// Guards against a pool that is given away for a single answer that takes long.
#[test]
fn answers_that_do_not_come_are_awaited() {
    let silent = StoreOutage {
        only_refusals: false,
        ..REFUSED
    };
    assert!(!silent.warrants_handover(10_700));
    assert!(silent.warrants_handover(10_900));
    assert!(silent.can_take_over(10_900, &served(9_500)));
}

/// Guards against a full line that is taken for a refusal: a connection that can't be made has done nothing either, and the next
/// owner's line is no better.
#[test]
fn a_connection_that_was_not_made_is_no_refusal() {
    let refused = StoreOutage::note(None, 10_000, 10_020, true);
    assert_eq!(refused, REFUSED);
    let again = StoreOutage::note(Some(refused), 10_100, 10_130, true);
    assert_eq!(again, REFUSED, "it counts from the first one");
    let slow = StoreOutage::note(Some(refused), 10_100, 10_500, true);
    assert!(!slow.only_refusals);
    assert!(!StoreOutage::note(Some(slow), 10_600, 10_610, true).only_refusals);
}
