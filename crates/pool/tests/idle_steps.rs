//! Steps of which nothing runs and that placement doesn't consider are reported with the reason.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, pool, report, report_all, run};
use pool::{Hold, Progress, RunEnd, RunOutcome, StageKey, WorkerId};
use simulation::{UNIX, job};

/// Guards against a log that doesn't tell why an inherited job doesn't go on: a worker of the former owner hasn't answered.
#[test]
fn a_job_that_waits_for_a_worker_of_the_former_owner_is_reported() {
    let mut pool = pool(4);
    pool.inherit(1_000, ["w99".into()], &[]);
    let inherited = Arc::new(job("00000000000000a1", &[(2, 500, 1_000)]));
    let progress = Progress::default();
    pool.adopt(1_000, UNIX + 1_000, inherited, Some(&progress), true);
    for now in (1_000..4_500).step_by(500) {
        report_all(&mut pool, now, &[]);
        assert_eq!(run(&mut pool, now).len(), 0);
    }
    assert!(
        pool.idle_steps(3_900, 8).is_empty(),
        "idle for less than 3 s"
    );
    let idle = pool.idle_steps(4_000, 8);
    assert_eq!(idle.len(), 1);
    let step = &idle[0];
    assert_eq!((step.tasks, step.done, step.startable), (2, 0, 2));
    assert_eq!((step.hold, step.since), (Some(Hold::Inheritance), 3_000));
}

/// Guards against a log full of steps that placement has considered: they wait for capacity, which other lines tell.
#[test]
fn a_step_that_waits_for_capacity_is_not_reported() {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(2, 4_000, 60_000)]),
    );
    let started = run(&mut pool, 1_002);
    assert_eq!(started.len(), 2);
    adopt(
        &mut pool,
        1_004,
        job("00000000000000a2", &[(1, 4_000, 60_000)]),
    );
    for now in (1_100..9_000).step_by(500) {
        report_all(&mut pool, now, &started);
        assert_eq!(run(&mut pool, now).len(), 0);
    }
    assert!(pool.idle_steps(9_000, 8).is_empty());
}

/// Guards against a log full of steps that were complete before the owner loaded their jobs.
#[test]
fn a_step_that_was_completed_under_the_former_owner_is_not_reported() {
    let stored = serde_json::json!({
        "state": "running",
        "open": [{ "number": 0, "steps": [{ "done": "3", "top": 1 }, { "done": "0" }] }],
    });
    let stored: Progress = serde_json::from_value(stored).expect("it is progress");
    let mut pool = pool(4);
    let inherited = job("00000000000000a1", &[(2, 500, 100), (1, 500, 60_000)]);
    pool.adopt(
        1_000,
        UNIX + 1_000,
        Arc::new(inherited),
        Some(&stored),
        true,
    );
    let started = run(&mut pool, 1_002);
    assert_eq!(started.len(), 1);
    for now in (1_100..9_000).step_by(500) {
        report_all(&mut pool, now, &started);
        run(&mut pool, now);
    }
    assert!(pool.idle_steps(9_000, 8).is_empty());
}

/// Guards against a job that nothing starts: it waits for the next report of a worker that the directory has dropped since.
#[test]
fn a_job_that_waits_for_a_worker_starts_when_the_worker_is_gone() {
    let mut pool = pool(4);
    let late = job("00000000000000a1", &[(1, 500, 1_000)]);
    let worker: WorkerId = "w03".into();
    let stage = StageKey {
        job: late.id.clone(),
        occurrence: 0,
        step: 0,
    };
    let ended = RunEnd {
        number: 1,
        task: stage.task(0),
        run: 1,
        outcome: RunOutcome::Stopped,
        checkpoint: String::new(),
    };
    report(&mut pool, 1_100, &worker, vec![], vec![ended]);
    adopt(&mut pool, 1_200, late);
    assert_eq!(run(&mut pool, 1_204).len(), 0, "the end must be read first");
    pool.deregister_worker(&worker);
    let mut started = 0;
    for now in (1_300..12_000).step_by(100) {
        for id in ["w00", "w01", "w02"] {
            report(&mut pool, now, &id.into(), vec![], vec![]);
        }
        started += run(&mut pool, now).len();
        if started > 0 {
            break;
        }
    }
    assert_eq!(started, 1, "{:?}", pool.idle_steps(12_000, 8));
}
