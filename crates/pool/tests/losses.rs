//! Reports of lost runs: runs that are over although no end was reported.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, pool, report_all, run};
use pool::{CrashRecord, Loss, Pool, WorkerReport};
use simulation::{UNIX, job};

fn restart(pool: &mut Pool, now: u64, id: &str) {
    let report = WorkerReport {
        clock: 10,
        incarnation: 2,
        lease: 0,
        requested_at: now,
        ..WorkerReport::default()
    };
    pool.apply_report(now, UNIX + now, &id.into(), &report);
}

/// Guards against losses that can't be told apart: a crash of the worker from a lease that was not renewed, and a run that had
/// just begun from one that had run for long.
#[test]
fn a_lost_run_reports_its_cause_and_duration() {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000aa", &[(2, 3_000, 60_000)]),
    );
    let started = run(&mut pool, 1_000);
    assert_eq!(started.len(), 2);
    report_all(&mut pool, 2_500, &started);
    restart(&mut pool, 3_000, &started[0].worker);
    let lost = pool.take_lost_runs();
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].loss, Loss::Restarted);
    assert_eq!(lost[0].survived, 1_500);
    assert!(lost[0].confirmed);
    drop(pool.schedule(20_000, UNIX + 20_000));
    let lost = pool.take_lost_runs();
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].loss, Loss::Lapsed);
    assert_eq!(lost[0].worker, started[1].worker);
    assert!(pool.take_lost_runs().is_empty());
}

/// Guards against a crash of which the log doesn't tell whether it counts: one on a worker that has just restarted counts less.
#[test]
fn a_lost_run_tells_whether_it_counts_as_a_crash() {
    let mut pool = pool(2);
    let short = job("00000000000000ab", &[(2, 3_000, 60_000)]);
    adopt(&mut pool, 1_000, short);
    let started = run(&mut pool, 1_000);
    report_all(&mut pool, 1_100, &started);
    restart(&mut pool, 1_500, &started[0].worker);
    let lost = pool.take_lost_runs();
    assert_eq!(
        (lost[0].crash, lost[0].steady),
        (CrashRecord::Confirmed, true)
    );
    assert_eq!((lost[0].crashes, lost[0].unstored), (1, 1));
}
