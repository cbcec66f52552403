//! Reports of lost runs: runs that are over although no end was reported.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, pool, report_all, run};
use pool::{CrashRecord, LeaseBasis, LeaseBound, Loss, Options, Pool, WorkerId, WorkerReport};
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

/// Guards against a second start that no line of the log explains: its worker doesn't answer this owner any more.
#[test]
fn a_lease_that_lapses_is_reported_with_the_silence_of_its_worker() {
    let mut pool = pool(2);
    let long = job("00000000000000ac", &[(2, 3_000, 60_000)]);
    adopt(&mut pool, 1_000, long);
    let started = run(&mut pool, 1_000);
    let answering = &started[1];
    let running = vec![case::running(answering)];
    case::report(&mut pool, 2_000, &answering.worker, running, vec![]);
    drop(pool.schedule(7_100, UNIX + 7_100));
    let lapsed = pool.take_lapsed_leases();
    assert_eq!(lapsed.len(), 1, "{lapsed:?}");
    assert_eq!(lapsed[0].worker, started[0].worker);
    assert_eq!(lapsed[0].basis, LeaseBasis::Calls);
    assert_eq!(lapsed[0].silence, Some(6_100));
    assert_eq!(lapsed[0].runs, 1);
    assert!(pool.take_lapsed_leases().is_empty());
}

/// Guards against a second start that no line of the log explains: a new owner knows no run of the worker that it has waited for, so it
/// reports none as lost.
#[test]
fn a_lease_of_a_former_owner_that_lapses_is_reported() {
    let ids: Vec<WorkerId> = vec!["w00".into(), "w01".into()];
    let mut pool = Pool::new(Options::default());
    let bound = LeaseBound {
        worker: ids[0].clone(),
        left: 500,
    };
    pool.set_lease_bounds(900, vec![bound]);
    case::register_workers(&mut pool, 0);
    pool.inherit(1_000, ids.clone(), &[]);
    drop(pool.schedule(1_400, UNIX + 1_400));
    let basis = |pool: &mut Pool| {
        let lapsed = pool.take_lapsed_leases();
        let bases = lapsed.iter().map(|it| (it.worker.clone(), it.basis));
        bases.collect::<Vec<_>>()
    };
    assert_eq!(basis(&mut pool), [(ids[0].clone(), LeaseBasis::HandedOver)]);
    case::register_workers(&mut pool, 3);
    pool.inherit(2_000, ["w07".into()], &[]);
    for now in [2_000, 20_000] {
        case::report(&mut pool, now, &"w01".into(), vec![], vec![]);
        case::report(&mut pool, now, &"w02".into(), vec![], vec![]);
        drop(pool.schedule(now, UNIX + now));
    }
    let former = basis(&mut pool);
    assert!(
        former.contains(&("w07".into(), LeaseBasis::FormerOwner)),
        "{former:?}"
    );
}
