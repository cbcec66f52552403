//! Leases that a start meant for a former incarnation of a worker gave to the next one: they last for as long as the worker allows, which is
//! longer than the leases that owners request.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, register_workers, running, starts};
use pool::{Job, LeaseBound, Ms, Options, Pool, StartAnswer, WorkerId, WorkerReport};
use simulation::{UNIX, job};

/// When the next owner first has a majority.
const MAJORITY: Ms = 1_000;
/// The longest lease that a worker grants.
const LONGEST_LEASE: Ms = 10_000;

fn options(epoch: u64) -> Options {
    Options {
        epoch,
        requested_lease: 5_000,
        longest_lease: LONGEST_LEASE,
        ..Options::default()
    }
}

/// Time from the majority of the next owner until it starts an inherited job, which may run on a worker that doesn't answer it.
fn first_start(bounds: Vec<LeaseBound>) -> Option<Ms> {
    let mut pool = Pool::new(options(2));
    let former_job = Job {
        epoch: 1,
        ..job("00000000000000a1", &[(1, 1_000, 60_000)])
    };
    pool.adopt(MAJORITY, UNIX, Arc::new(former_job), None, true);
    pool.set_lease_bounds(MAJORITY, bounds);
    pool.inherit(MAJORITY, [WorkerId::from("w99")], &[]);
    register_workers(&mut pool, 3);
    (0..20_000).step_by(50).find(|&passed| {
        let now = MAJORITY + passed;
        for index in 0..3 {
            let id: WorkerId = format!("w{index:02}").into();
            case::report(&mut pool, now, &id, vec![], vec![]);
        }
        !starts(pool.schedule(now, UNIX + now)).is_empty()
    })
}

/// Guards against a second run beside the first: the former owner counts the longest lease for a worker and hands that over, and the next
/// owner waits for no longer than leases last that owners request.
#[test]
fn a_lease_bound_that_was_handed_over_holds_for_longer_than_usual_leases() {
    let left = 9_500;
    let bound = LeaseBound {
        worker: "w99".into(),
        left,
    };
    let start = first_start(vec![bound]).expect("it starts in the end");
    assert!(start >= left, "{start}");
}

/// Guards against a second run beside the first: the former owner is lost without a handover right after a start of its gave the longest
/// lease to the next incarnation of a worker, which is cut off.
#[test]
fn a_new_owner_waits_for_the_longest_lease_that_a_start_of_the_former_one_gave() {
    let start = first_start(vec![]).expect("it starts in the end");
    assert!(start >= LONGEST_LEASE, "{start}");
}

/// Guards against a second run beside the first: the next incarnation carries out a start whose answer is lost, lists the run, and is cut off.
/// The deadline of the start is far ahead on its clock.
#[test]
fn a_listed_run_of_a_start_without_an_answer_has_the_lease_that_the_start_gave() {
    let mut pool = Pool::new(options(1));
    register_workers(&mut pool, 2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000e1", &[(1, 1_000, 60_000)]),
    );
    let start = starts(pool.schedule(1_010, UNIX + 1_010)).remove(0);
    pool.start_answered(1_460, &start, StartAnswer::Lost);
    let report = WorkerReport {
        clock: 10,
        incarnation: 2,
        requested_at: 1_470,
        running: vec![running(&start)],
        ..WorkerReport::default()
    };
    assert!(start.start_deadline > report.clock + LONGEST_LEASE);
    pool.apply_report(1_480, UNIX + 1_480, &start.worker, &report);
    drop(pool.schedule(1_480 + 9_900, UNIX + 1_480 + 9_900));
    assert_eq!(pool.take_lost_runs().len(), 0, "it may be running");
}

/// Guards against a second run beside the first: a new owner gets a first report, which requested no lease, and counts for it only the leases
/// that owners request. The former owner's start gave the longest lease, and the worker is cut off.
#[test]
fn a_first_report_counts_with_the_longest_lease_that_the_former_owner_may_have_given() {
    let first_report = 1_500;
    let mut pool = Pool::new(options(2));
    let former_job = Job {
        epoch: 1,
        ..job("00000000000000a1", &[(1, 1_000, 60_000)])
    };
    pool.adopt(MAJORITY, UNIX, Arc::new(former_job), None, true);
    register_workers(&mut pool, 3);
    let id = WorkerId::from("w99");
    pool.inherit(MAJORITY, [id.clone()], &[]);
    pool.update_worker(MAJORITY, &id, pool::WorkerInfo::default());
    let stage = pool::StageKey {
        job: "00000000000000a1".into(),
        occurrence: 0,
        step: 0,
    };
    let run = pool::RunStatus {
        task: stage.task(0),
        run: 1,
        checkpoint: String::new(),
        percent: 5,
        load: 0,
    };
    let report = WorkerReport {
        clock: 600,
        incarnation: 2,
        requested_at: first_report - 5,
        running: vec![run],
        ..WorkerReport::default()
    };
    pool.apply_report(first_report, UNIX, &id, &report);
    drop(pool.schedule(first_report + 9_300, UNIX));
    assert_eq!(pool.take_lost_runs().len(), 0, "it may be running");
}
