//! Reports of workers that arrive late.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, pool, report, run};
use pool::WorkerReport;
use simulation::{UNIX, job};

/// Guards against a second start of a running task. A worker reports its runs before a start command reaches it, and the report
/// is in transit for longer than a run may be missing. The run must not be taken as lost.
#[test]
fn a_report_older_than_a_run_does_not_end_it() {
    let mut pool = pool(3);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000d1", &[(1, 1_000, 60_000)]),
    );
    let started = run(&mut pool, 1_010);
    assert_eq!(started.len(), 1);
    let (now, requested_at) = (5_100, 1_005);
    let ids = ["w00", "w01", "w02"].map(pool::WorkerId::from);
    for id in ids.iter().filter(|id| **id != started[0].worker) {
        report(&mut pool, now, id, vec![], vec![]);
    }
    let late = WorkerReport {
        clock: requested_at + 50_000,
        incarnation: 1,
        lease: requested_at + 56_000,
        requested_at,
        running: vec![],
        ended: vec![],
    };
    pool.apply_report(now, UNIX + now, &started[0].worker, &late);
    assert_eq!(run(&mut pool, now + 1).len(), 0, "it is still running");
}

/// Guards against a second start of a completed task. A worker restarts under the same id, and its new incarnation receives the
/// start command and completes the task before it reports again. The run must not be taken as lost with the earlier incarnation.
#[test]
fn an_end_reported_by_an_unknown_incarnation_counts() {
    let mut pool = pool(3);
    let short = job("00000000000000d2", &[(1, 1_000, 100)]);
    adopt(&mut pool, 1_000, short);
    let started = run(&mut pool, 1_010);
    assert_eq!(started.len(), 1);
    let first = &started[0];
    let end = pool::RunEnd {
        number: 1,
        task: first.task.clone(),
        run: first.run,
        outcome: pool::RunOutcome::Done,
        checkpoint: String::new(),
    };
    let restarted = WorkerReport {
        clock: 500,
        incarnation: 2,
        lease: 6_500,
        requested_at: 1_500,
        running: vec![],
        ended: vec![end],
    };
    pool.apply_report(1_510, UNIX + 1_510, &first.worker, &restarted);
    assert_eq!(run(&mut pool, 1_520).len(), 0, "the task is done");
}

/// Guards against taking the runs of a worker for stalled that couldn't be reached for some seconds: its clock is 2% slow, so its first
/// report reads earlier than expected.
#[test]
fn runs_of_a_worker_with_a_slow_clock_are_not_stalled_after_a_silence() {
    let mut pool = pool(3);
    let task = job("00000000000000d3", &[(2, 1_000, 20_000)]);
    adopt(&mut pool, 1_000, task);
    let started = run(&mut pool, 1_010);
    let id = started[0].worker.clone();
    let others: Vec<_> = pool.workers().map(|worker| worker.id.clone()).collect();
    let report_at = |pool: &mut pool::Pool, now: u64| {
        let running = started.iter().filter(|start| start.worker == id);
        let status = running.map(|start| pool::RunStatus {
            percent: (now / 200) as u32,
            ..case::running(start)
        });
        let report = WorkerReport {
            clock: 50_000 + now * 98 / 100,
            incarnation: 1,
            lease: 56_000 + now,
            requested_at: now,
            running: status.collect(),
            ended: vec![],
        };
        pool.apply_report(now, UNIX + now, &id, &report);
    };
    report_at(&mut pool, 1_500);
    pool.mark_unresponsive(&id);
    for now in (1_700..5_000).step_by(200) {
        for other in others.iter().filter(|other| **other != id) {
            report(&mut pool, now, other, vec![], vec![]);
        }
        assert_eq!(case::stops(&pool.schedule(now, UNIX + now)), 0);
    }
    report_at(&mut pool, 5_000);
    assert_eq!(case::stops(&pool.schedule(5_200, UNIX + 5_200)), 0);
    let suspected = pool.take_worker_suspicions();
    assert!(suspected.is_empty(), "{suspected:?}");
}
