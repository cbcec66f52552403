//! States of jobs as an owner reports them while it writes them to the store.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, run};
use pool::{Pool, RunOutcome, State};
use simulation::job;

const JOB: &str = "00000000000000f1";

/// A pool with a job whose only task has ended; nothing is stored yet.
fn pool_with_completed_job() -> Pool {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job(JOB, &[(1, 1_000, 100)]));
    let started = run(&mut pool, 1_010);
    assert_eq!(started.len(), 1);
    let done = end(&started[0], 1, RunOutcome::Done);
    report(&mut pool, 1_200, &started[0].worker, vec![], vec![done]);
    pool
}

/// Guards against a job that is shown as completed and then as running. The write of the final state has taken effect, but its
/// answer has not reached the owner; a host that can't reach the owner reads the stored state, and the owner contradicts it.
#[test]
fn an_owner_does_not_contradict_a_final_state_that_may_be_stored() {
    let mut pool = pool_with_completed_job();
    assert_eq!(pool.state(JOB), Some(State::Running), "nothing is written");
    let batch = pool.batch(80);
    assert_eq!(pool.state(JOB), None, "the write may have taken effect");
    pool.batch_failed(&batch);
    assert_eq!(pool.state(JOB), None, "the answer to the write is lost");
    let batch = pool.batch(80);
    pool.batch_stored(&batch);
    assert_eq!(pool.state(JOB), Some(State::Completed));
}

/// Guards against an owner that can't tell the state of a job for as long as the store refuses its writes.
#[test]
fn an_owner_tells_the_state_of_a_job_whose_write_was_refused() {
    let mut pool = pool_with_completed_job();
    for _ in 0..3 {
        let batch = pool.batch(80);
        assert_eq!(pool.state(JOB), None, "the write may have taken effect");
        pool.batch_refused(&batch);
        assert_eq!(pool.state(JOB), Some(State::Running), "it had no effect");
        pool.batch_failed(&batch);
    }
}

/// Guards against taking a refusal as an answer to an earlier write, whose answer is lost.
#[test]
fn a_refused_write_says_nothing_about_an_earlier_one() {
    let mut pool = pool_with_completed_job();
    let lost = pool.batch(80);
    pool.batch_failed(&lost);
    let refused = pool.batch(80);
    pool.batch_refused(&refused);
    pool.batch_failed(&refused);
    assert_eq!(pool.state(JOB), None, "the first may have taken effect");
}
