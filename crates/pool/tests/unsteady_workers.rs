//! Workers that restart whatever runs on them, and the crash records of the tasks that they lose.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, answer, pool, register_workers, run, starts, store};
use pool::{Ms, Options, Pool, State, WorkerId, WorkerReport};
use simulation::{UNIX, job};

/// A worker answers with an incarnation that has just started.
fn restart_now(pool: &mut Pool, now: Ms, id: &WorkerId) {
    let report = WorkerReport {
        clock: 10,
        incarnation: UNIX + now,
        lease: 1_000_000,
        requested_at: now,
        ..WorkerReport::default()
    };
    pool.apply_report(now, UNIX + now, id, &report);
}

/// Guards against failing a job for restarts that it didn't cause: each worker restarts about once a second whatever runs on it, so
/// the task loses all its runs within their first second.
#[test]
fn a_task_on_workers_that_keep_restarting_is_not_abandoned() {
    let mut pool = pool(4);
    let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
    for id in &ids {
        restart_now(&mut pool, 1_000, id);
    }
    adopt(
        &mut pool,
        1_100,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let mut now = 1_100;
    for round in 0..30 {
        drop(run(&mut pool, now));
        drop(store(&mut pool));
        drop(run(&mut pool, now + 50));
        now += 1_000;
        for id in &ids {
            restart_now(&mut pool, now, id);
        }
        assert_ne!(
            pool.state("00000000000000a1"),
            Some(State::Failed),
            "round {round}"
        );
    }
    now += 5_000;
    for id in &ids {
        answer(&mut pool, now, id, vec![]);
    }
    let mut started = run(&mut pool, now);
    drop(store(&mut pool));
    started.extend(run(&mut pool, now + 50));
    assert_eq!(started.len(), 1, "the workers have been up for long enough");
}

/// Guards against failing a job because the next owner counts restarts as crashes that the former owner couldn't attribute to it, with
/// a start that was announced but never made.
#[test]
fn unconfirmed_crashes_stay_unconfirmed_at_the_next_owner() {
    let mut pool = pool(4);
    let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
    for id in &ids {
        restart_now(&mut pool, 1_000, id);
    }
    let task = job("00000000000000a1", &[(1, 900, 5_000)]);
    adopt(&mut pool, 1_100, task.clone());
    let mut now = 1_100;
    for _ in 0..2 {
        drop(run(&mut pool, now));
        now += 1_000;
        for id in &ids {
            restart_now(&mut pool, now, id);
        }
    }
    assert!(
        run(&mut pool, now + 50).is_empty(),
        "the third start is announced only"
    );
    let stored = store(&mut pool).expect("there is something to store");
    assert_eq!(stored.open[0].steps[0].crashed, vec![(0, vec![1, 2, 3])]);
    assert_eq!(stored.open[0].steps[0].unconfirmed, vec![(0, vec![1, 2])]);
    let mut next = Pool::new(Options::default());
    register_workers(&mut next, 4);
    next.adopt(1_000, UNIX + 1_000, Arc::new(task), Some(&stored), true);
    drop(starts(next.schedule(1_010, UNIX + 1_010)));
    assert_ne!(next.state("00000000000000a1"), Some(State::Failed));
}
