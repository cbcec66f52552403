//! When an owner to which a host has lost its link is considered lost.

use std::time::Duration;

use host::verdict::{Evidence, Verdict, WitnessAnswer};

/// Evidence that consists of the answers of the witnesses.
fn witnesses(answers: &[WitnessAnswer]) -> Evidence {
    Evidence {
        witnesses: answers.iter().copied().collect(),
        ..Evidence::default()
    }
}

/// A host with a saturated connection mistook missing answers for the answer that nobody hears the owner, and took the pool from
/// an owner that worked.
#[test]
fn a_missing_answer_is_not_a_negative_answer() {
    let silent = witnesses(&[WitnessAnswer::TimedOut; 4]);
    assert_ne!(silent.verdict(), Verdict::Lost);
}

/// A host that had read the owner's row before the owner named its successors had nobody to ask, and mistook that for the answer
/// that nobody hears the owner.
#[test]
fn without_witnesses_there_is_no_conclusion() {
    assert_ne!(witnesses(&[]).verdict(), Verdict::Lost);
}

/// A single host that hears the owner proves that it works, whatever the others answer.
#[test]
fn an_owner_that_one_host_hears_is_alive() {
    let mixed = [
        WitnessAnswer::DoesNotHear,
        WitnessAnswer::Refused,
        WitnessAnswer::Hears,
        WitnessAnswer::TimedOut,
    ];
    assert_eq!(witnesses(&mixed).verdict(), Verdict::Alive);
}

/// When the owner and its successors are killed together, their machines refuse connections. That is an answer, and the pool
/// must be taken over at once.
#[test]
fn an_owner_that_no_answering_host_hears_is_lost() {
    assert_eq!(
        witnesses(&[WitnessAnswer::DoesNotHear; 4]).verdict(),
        Verdict::Lost
    );
    assert_eq!(
        witnesses(&[WitnessAnswer::Refused; 4]).verdict(),
        Verdict::Lost
    );
}

/// When the owner's process has ended, its machine refuses connections or another process answers there. The pool must be taken
/// over at once, whichever other hosts have failed.
#[test]
fn an_owner_whose_address_gives_a_negative_answer_is_lost() {
    for owner in [WitnessAnswer::Refused, WitnessAnswer::DoesNotHear] {
        let ended = Evidence {
            owner: Some(owner),
            ..witnesses(&[WitnessAnswer::TimedOut; 7])
        };
        assert_eq!(ended.verdict(), Verdict::Lost);
    }
}

/// An owner whose link has become silent may still answer over a new connection.
#[test]
fn an_owner_that_answers_is_alive() {
    let answers = Evidence {
        owner: Some(WitnessAnswer::Hears),
        ..witnesses(&[WitnessAnswer::DoesNotHear; 7])
    };
    assert_eq!(answers.verdict(), Verdict::Alive);
}

/// When the connection between the regions is saturated, hosts of the far region answer that they don't hear the owner, while
/// answers of the store and of hosts in the owner's region don't arrive. Two of seven hosts are no majority.
#[test]
fn hosts_behind_the_same_saturated_connection_depose_no_owner() {
    let mut answers = [WitnessAnswer::TimedOut; 7];
    answers[..2].fill(WitnessAnswer::DoesNotHear);
    assert_eq!(witnesses(&answers).verdict(), Verdict::Unsure);
}

/// When a region fails with the owner and most successors, the store answers at once, so the connection works, and the other
/// hosts don't hear the owner either. The takeover must not be delayed.
#[test]
fn a_failed_region_does_not_delay_the_takeover() {
    let mut answers = [WitnessAnswer::TimedOut; 7];
    answers[..2].fill(WitnessAnswer::DoesNotHear);
    let lost = Evidence {
        store_answered: true,
        ..witnesses(&answers)
    };
    assert_eq!(lost.verdict(), Verdict::Lost);
}

/// When the owner and all successors have lost power, nobody answers. The pool must be taken over soon if the store answers,
/// and in any case before the workers' leases of six seconds lapse.
#[test]
fn a_pool_is_taken_over_although_nobody_can_answer() {
    let after = |store_answered, ms| {
        let evidence = Evidence {
            store_answered,
            unsure_for: Duration::from_millis(ms),
            ..witnesses(&[WitnessAnswer::TimedOut; 7])
        };
        evidence.verdict()
    };
    assert_eq!(after(true, 0), Verdict::Unsure);
    assert_eq!(after(true, 1_200), Verdict::Lost);
    assert_eq!(after(false, 1_200), Verdict::Unsure);
    assert_eq!(after(false, 5_900), Verdict::Lost);
}

/// An owner that writes its row while a host is unsure about it works.
#[test]
fn an_owner_that_writes_its_row_is_alive() {
    let writes = Evidence {
        rewritten: true,
        unsure_for: Duration::from_secs(60),
        ..witnesses(&[WitnessAnswer::TimedOut; 7])
    };
    assert_eq!(writes.verdict(), Verdict::Alive);
}
