//! When an owner that a host doesn't hear is lost.

use std::time::Duration;

use host::verdict::{Evidence, Verdict, WitnessAnswer};

/// Evidence from what the witnesses answered.
fn witnesses(answers: &[WitnessAnswer]) -> Evidence {
    Evidence {
        witnesses: answers.iter().copied().collect(),
        ..Evidence::default()
    }
}

/// A host whose line was full took "no answer in time" for "nobody hears the owner", and took the pool from an owner that worked.
#[test]
fn no_answer_in_time_is_not_a_no() {
    let silent = witnesses(&[WitnessAnswer::TimedOut; 4]);
    assert_ne!(silent.verdict(), Verdict::Lost);
}

/// A host that had read the owner's row before the owner named its heirs asked nobody, and took that for a no.
#[test]
fn a_host_that_can_ask_nobody_knows_nothing() {
    assert_ne!(witnesses(&[]).verdict(), Verdict::Lost);
}

/// One host that hears the owner was enough to spare it, and has to stay enough.
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

/// The owner and its heirs are killed together: their machines refuse connections, which is an answer, and the pool must be
/// taken at once.
#[test]
fn an_owner_that_all_answers_miss_is_lost() {
    assert_eq!(
        witnesses(&[WitnessAnswer::DoesNotHear; 4]).verdict(),
        Verdict::Lost
    );
    assert_eq!(
        witnesses(&[WitnessAnswer::Refused; 4]).verdict(),
        Verdict::Lost
    );
}

/// The owner's process has ended: whoever else is dead, its machine says so, and the pool must be taken at once.
#[test]
fn an_owner_whose_machine_refuses_is_lost() {
    for owner in [WitnessAnswer::Refused, WitnessAnswer::DoesNotHear] {
        let ended = Evidence {
            owner: Some(owner),
            ..witnesses(&[WitnessAnswer::TimedOut; 7])
        };
        assert_eq!(ended.verdict(), Verdict::Lost);
    }
}

/// Over a new connection the owner answers, which a link that went silent doesn't show.
#[test]
fn an_owner_that_answers_is_alive() {
    let answers = Evidence {
        owner: Some(WitnessAnswer::Hears),
        ..witnesses(&[WitnessAnswer::DoesNotHear; 7])
    };
    assert_eq!(answers.verdict(), Verdict::Alive);
}

/// The line between the regions is full: hosts of the far region say that they don't hear the owner, those beside it can't
/// answer, nor can the store. Two of seven are no majority.
#[test]
fn hosts_behind_the_same_full_line_depose_no_owner() {
    let mut answers = [WitnessAnswer::TimedOut; 7];
    answers[..2].fill(WitnessAnswer::DoesNotHear);
    assert_eq!(witnesses(&answers).verdict(), Verdict::Unsure);
}

/// A region is lost with the owner and most heirs: the store answers at once, so the line works, and the other hosts of the
/// far region don't hear the owner either. They must not wait longer than before.
#[test]
fn a_lost_region_holds_nobody_up() {
    let mut answers = [WitnessAnswer::TimedOut; 7];
    answers[..2].fill(WitnessAnswer::DoesNotHear);
    let lost = Evidence {
        store_answered: true,
        ..witnesses(&answers)
    };
    assert_eq!(lost.verdict(), Verdict::Lost);
}

/// The owner and all heirs have lost power. Somebody takes the pool: soon if the store answers, and in any case before the
/// workers' leases of six seconds lapse.
#[test]
fn somebody_takes_the_pool_where_nobody_can_answer() {
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

/// The owner wrote its row while a host could not tell whether it is lost, so it works.
#[test]
fn an_owner_that_writes_its_row_is_alive() {
    let writes = Evidence {
        rewritten: true,
        unsure_for: Duration::from_secs(60),
        ..witnesses(&[WitnessAnswer::TimedOut; 7])
    };
    assert_eq!(writes.verdict(), Verdict::Alive);
}
