//! Summaries of completed steps and jobs for the log.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, run};
use pool::{RunOutcome, State};
use simulation::job;

/// Guards against a log that doesn't show what a step waited for: one summary must hold the times of opening, starts and end.
#[test]
fn a_step_summary_has_its_start_and_end_times() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(2, 100, 500)]));
    let started = run(&mut pool, 1_010);
    assert!(pool.take_steps_done().is_empty(), "no step is complete yet");
    let ends = vec![
        end(&started[0], 1, RunOutcome::Done),
        end(&started[1], 2, RunOutcome::Done),
    ];
    report(&mut pool, 1_600, &started[0].worker, vec![], ends);
    let steps = pool.take_steps_done();
    assert_eq!(steps.len(), 1);
    assert_eq!((steps[0].tasks, steps[0].starts), (2, 2));
    assert_eq!(steps[0].first_start, Some(10));
    assert_eq!(steps[0].done, 600);
    assert_eq!(steps[0].first_query, None, "no advisor is needed");
    assert!(pool.take_steps_done().is_empty(), "reported only once");
}

/// Guards against a job whose final state is reported before it is stored, or twice.
#[test]
fn a_job_is_reported_once_after_its_final_state_is_stored() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let started = run(&mut pool, 1_010);
    let ends = vec![end(&started[0], 1, RunOutcome::Done)];
    report(&mut pool, 1_600, &started[0].worker, vec![], ends);
    assert!(pool.take_jobs_done().is_empty(), "not stored yet");
    let batch = pool.batch(80);
    pool.batch_stored(&batch);
    pool.batch_stored(&batch);
    let jobs = pool.take_jobs_done();
    assert_eq!(jobs.len(), 1);
    assert_eq!(jobs[0].state, State::Completed);
    // Twice the estimated work plus 500 ms; the estimate is corrected slightly by the observed run time.
    assert!((1_490..=1_510).contains(&jobs[0].objective), "{jobs:?}");
}
