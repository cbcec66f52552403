//! Runs of one task that the former owner's list of unavailable workers names more than once: a stray run and the current one.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{register_workers, report, starts};
use pool::{
    Job, LeaseBasis, LeaseBound, Ms, Options, Pool, StageKey, Start, TaskKey, UnavailableWorker,
    WorkerId,
};
use simulation::{UNIX, job};

const JOB: &str = "00000000000000a1";
const MAJORITY: Ms = 1_000;

fn task() -> TaskKey {
    let stage = StageKey {
        job: JOB.into(),
        occurrence: 0,
        step: 0,
    };
    stage.task(0)
}

fn unavailable(worker: &str, runs: &[u32]) -> UnavailableWorker {
    UnavailableWorker {
        worker: worker.into(),
        runs: runs.iter().map(|run| (task(), *run)).collect(),
        incarnation: 1,
    }
}

/// The next owner of a pool with three workers that answer, and these that the former one couldn't reach.
fn next_owner(list: &[UnavailableWorker]) -> Pool {
    let options = Options {
        epoch: 2,
        requested_lease: 5_000,
        ..Options::default()
    };
    let mut pool = Pool::new(options);
    let former_job = Job {
        epoch: 1,
        ..job(JOB, &[(1, 1_000, 60_000)])
    };
    pool.adopt(MAJORITY, UNIX, Arc::new(former_job), None, true);
    pool.inherit(MAJORITY, [], list);
    register_workers(&mut pool, 3);
    pool
}

fn answer(pool: &mut Pool, now: Ms) {
    for index in 0..3 {
        let id: WorkerId = format!("w{index:02}").into();
        report(pool, now, &id, vec![], vec![]);
    }
}

/// Time of the first start from `from` on, and the start.
fn first_start(pool: &mut Pool, from: Ms) -> Option<(Ms, Start)> {
    (from..from + 20_000).step_by(50).find_map(|now| {
        answer(pool, now);
        let mut started = starts(pool.schedule(now, UNIX + now));
        (!started.is_empty()).then(|| (now, started.remove(0)))
    })
}

/// Guards against a second run beside the first: a stray run and the current one are on different workers that don't answer, and the
/// worker with the stray run reports that it is over.
#[test]
fn the_end_of_a_stray_run_says_nothing_about_the_current_one_elsewhere() {
    let mut pool = next_owner(&[unavailable("w08", &[1]), unavailable("w09", &[2])]);
    answer(&mut pool, MAJORITY);
    drop(pool.schedule(MAJORITY, UNIX + MAJORITY));
    report(&mut pool, MAJORITY + 50, &"w08".into(), vec![], vec![]);
    let (at, start) = first_start(&mut pool, MAJORITY + 100).expect("it starts in the end");
    // The former owner may have renewed the lease of the other worker until just before.
    assert!(at >= MAJORITY + 5_000, "{at}");
    assert!(start.run > 2, "{}", start.run);
}

/// Guards against a number that two runs of a task share: the worker that doesn't answer may have both runs, and only the lower number is
/// counted.
#[test]
fn a_task_starts_again_with_a_number_above_all_its_listed_runs() {
    let mut pool = next_owner(&[unavailable("w09", &[1, 2])]);
    let (_, start) = first_start(&mut pool, MAJORITY).expect("it starts in the end");
    assert!(start.run > 2, "{}", start.run);
}

/// Guards against a log that names the wrong cause of a second start: the wait for an unavailable worker ends with the time that the former
/// owner has handed over, and it has never answered this owner.
#[test]
fn the_end_of_a_handed_over_wait_has_one_basis() {
    let mut pool = next_owner(&[]);
    let bound = LeaseBound {
        worker: "w09".into(),
        left: 500,
    };
    pool.set_lease_bounds(MAJORITY, vec![bound]);
    pool.inherit(MAJORITY, [], &[unavailable("w09", &[1])]);
    drop(first_start(&mut pool, MAJORITY));
    let bases: Vec<_> = pool.take_lapsed_leases();
    let bases: Vec<_> = bases.iter().map(|it| it.basis).collect();
    assert_eq!(bases, [LeaseBasis::HandedOver]);
}
