//! When an owner that a host doesn't hear is lost.

use host::verdict::{Answer, Evidence, Verdict};

/// Evidence from what the witnesses answered.
fn witnesses(answers: &[Answer]) -> Evidence {
    Evidence {
        witnesses: answers.iter().copied().collect(),
    }
}

/// A host whose line was full took "no answer in time" for "nobody hears the owner", and took the pool from an owner that worked.
#[test]
fn no_answer_in_time_is_not_a_no() {
    let silent = witnesses(&[Answer::TimedOut; 4]);
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
        Answer::DoesNotHear,
        Answer::Refused,
        Answer::Hears,
        Answer::TimedOut,
    ];
    assert_eq!(witnesses(&mixed).verdict(), Verdict::Alive);
}

/// The owner and its heirs are killed together: their machines refuse connections, which is an answer, and the pool must be
/// taken at once.
#[test]
fn an_owner_that_all_answers_miss_is_lost() {
    assert_eq!(
        witnesses(&[Answer::DoesNotHear; 4]).verdict(),
        Verdict::Lost
    );
    assert_eq!(witnesses(&[Answer::Refused; 4]).verdict(), Verdict::Lost);
}
