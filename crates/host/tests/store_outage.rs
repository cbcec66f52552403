//! Handover of a pool by an owner that has lost the store.

use host::store_outage::{Candidate, StoreOutage};

const REFUSED: StoreOutage = StoreOutage {
    since: 10_000,
    only_refusals: true,
};

/// A host to which the store has been available for long and gave its last answer at this time.
fn with_store(last_answer: u64) -> Candidate {
    Candidate {
        available_since: Some(1_000),
        last_answer,
    }
}

/// Guards against a pool that can't store anything for 0.9 s although another host could own it: a third of the short jobs that
/// were due in that time were late.
#[test]
fn a_refused_owner_hands_the_pool_over_at_once() {
    assert!(REFUSED.warrants_handover(10_250));
    assert!(REFUSED.can_take_over(10_250, &with_store(10_120)));
}

/// Guards against a handover when the store refuses all hosts: one of them is always the last to notice.
#[test]
fn there_is_no_handover_at_the_beginning_of_an_outage() {
    for last_answer in [9_000, 9_999, 10_040] {
        assert!(!REFUSED.can_take_over(10_250, &with_store(last_answer)));
    }
}

/// Guards against a handover when an outage ends: one host is always the first to notice.
#[test]
fn there_is_no_handover_at_the_end_of_an_outage() {
    let first = Candidate {
        available_since: Some(14_000),
        last_answer: 14_050,
    };
    assert!(!REFUSED.can_take_over(14_060, &first));
}

/// Guards against a handover because of a single slow answer.
#[test]
fn missing_answers_are_awaited_longer() {
    let unanswered = StoreOutage {
        only_refusals: false,
        ..REFUSED
    };
    assert!(!unanswered.warrants_handover(10_700));
    assert!(unanswered.warrants_handover(10_900));
    assert!(unanswered.can_take_over(10_900, &with_store(9_500)));
}

/// Guards against a congested link that counts as a refusal: a connection that can't be made has no effect either, but the next
/// owner's link would be no better.
#[test]
fn a_connection_that_was_not_made_is_no_refusal() {
    let refused = StoreOutage::record(None, 10_000, 10_020, true);
    assert_eq!(refused, REFUSED);
    let again = StoreOutage::record(Some(refused), 10_100, 10_130, true);
    assert_eq!(again, REFUSED, "the first failure counts");
    let slow = StoreOutage::record(Some(refused), 10_100, 10_500, true);
    assert!(!slow.only_refusals);
    assert!(!StoreOutage::record(Some(slow), 10_600, 10_610, true).only_refusals);
}
