//! What the log is told of the courses of steps and jobs.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, hold, pool, run};
use pool::{How, State};
use simulation::job;

/// Guards against a step of which the log can't say what it waited for: one line has to tell turn, starts and end.
#[test]
fn a_step_tells_when_it_started_and_ended() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(2, 100, 500)]));
    let started = run(&mut pool, 1_010);
    assert!(pool.take_steps_done().is_empty(), "nothing is done yet");
    let ends = vec![
        end(&started[0], 1, How::Done),
        end(&started[1], 2, How::Done),
    ];
    hold(&mut pool, 1_600, &started[0].worker, vec![], ends);
    let steps = pool.take_steps_done();
    assert_eq!(steps.len(), 1);
    assert_eq!((steps[0].tasks, steps[0].starts), (2, 2));
    assert_eq!(steps[0].first_start, Some(10));
    assert_eq!(steps[0].done, 600);
    assert_eq!(steps[0].asked, None, "no advisor is needed");
    assert!(pool.take_steps_done().is_empty(), "it is told once");
}

/// Guards against a job whose final state is told before it is stored, or twice.
#[test]
fn a_job_is_told_once_its_final_state_is_stored() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let started = run(&mut pool, 1_010);
    let ends = vec![end(&started[0], 1, How::Done)];
    hold(&mut pool, 1_600, &started[0].worker, vec![], ends);
    assert!(pool.take_jobs_done().is_empty(), "it is not stored");
    let batch = pool.batch(80);
    pool.saved(&batch);
    pool.saved(&batch);
    let jobs = pool.take_jobs_done();
    assert_eq!(jobs.len(), 1);
    assert_eq!(jobs[0].state, State::Completed);
    // Twice its work and half a second; the work is corrected a little by what the task took.
    assert!((1_490..=1_510).contains(&jobs[0].objective), "{jobs:?}");
}
