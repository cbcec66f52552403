//! Ends that a worker has listed must count, whatever else is known of the worker: its entry in the directory expires while it lives, as in
//! an outage of the store, or its reports overtake each other.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{answer, describe, end, register_workers, report, starts, store};
use pool::{
    Job, Ms, OccurrenceProgress, Options, Pool, Progress, RunEnd, RunOutcome, Start, State,
    StepProgress, UnresolvedStart, WorkerId, WorkerReport,
};
use simulation::{UNIX, job};

const JOB: &str = "00000000000000a1";
/// When the entry of the worker expires.
const EXPIRED: Ms = 1_100;
/// The lease that the workers of [`case`] report.
const LEASE: Ms = 5_000;

fn worker() -> WorkerId {
    "w00".into()
}

fn inherited_job(tasks: u32) -> Job {
    Job {
        epoch: 1,
        ..job(JOB, &[(tasks, 1_000, 800)])
    }
}

/// The start of the job's first task that the former owner has sent.
fn former_start() -> Start {
    let mut former = case::pool(3);
    case::adopt(&mut former, 1_000, inherited_job(1));
    starts(former.schedule(1_000, UNIX + 1_000)).remove(0)
}

/// The next owner of a pool of three workers, which all have reported. It can't read the job yet.
fn next_owner() -> Pool {
    let mut pool = Pool::new(Options {
        epoch: 2,
        ..Options::default()
    });
    pool.set_jobs_incomplete(1_000, true);
    register_workers(&mut pool, 3);
    drop(pool.schedule(1_000, UNIX + 1_000));
    assert!(pool.has_quorum(1_000));
    pool
}

/// As [`next_owner`]; one of the workers lists this end of the job's first task, and after that its entry expires.
fn next_owner_with_unknown_end(outcome: RunOutcome) -> (Pool, RunEnd) {
    let mut pool = next_owner();
    let ended = end(&former_start(), 1, outcome);
    answer(&mut pool, EXPIRED, &worker(), vec![ended.clone()]);
    pool.deregister_worker(&worker());
    (pool, ended)
}

fn load_job(pool: &mut Pool, now: Ms) {
    pool.adopt(now, UNIX + now, Arc::new(inherited_job(1)), None, true);
    pool.set_jobs_incomplete(now, false);
}

/// The other workers answer, and a scheduling pass runs; returns its starts.
fn pass(pool: &mut Pool, now: Ms) -> Vec<Start> {
    for id in ["w01", "w02"] {
        answer(pool, now, &id.into(), vec![]);
    }
    starts(pool.schedule(now, UNIX + now))
}

/// Guards against a task that starts again: the end of its run was listed before its job was known, and forgotten with the worker's
/// entry, which expired in an outage of the store.
#[test]
fn ends_of_unread_jobs_outlive_the_entry_of_their_worker() {
    let (mut pool, ended) = next_owner_with_unknown_end(RunOutcome::Done);
    assert!(pass(&mut pool, 1_200).is_empty());
    load_job(&mut pool, 1_300);
    for now in (1_300..3_000).step_by(100) {
        assert!(pass(&mut pool, now).is_empty(), "started at {now}");
    }
    describe(&mut pool, 3_000, &worker(), 1);
    answer(&mut pool, 3_000, &worker(), vec![ended]);
    assert!(pass(&mut pool, 3_000).is_empty());
    let progress = store(&mut pool).expect("the job is stored");
    assert_eq!(progress.state, State::Completed);
}

/// Guards against a task that starts again after as many failed runs as it has attempts: the ends `failed` are forgotten with the entry.
#[test]
fn failed_ends_of_unread_jobs_count_although_the_entry_of_their_worker_has_expired() {
    let (mut pool, ended) = next_owner_with_unknown_end(RunOutcome::Failed);
    assert!(pass(&mut pool, 1_200).is_empty());
    let mut job = inherited_job(1);
    job.policy.attempts = 1;
    pool.adopt(1_300, UNIX + 1_300, Arc::new(job), None, true);
    pool.set_jobs_incomplete(1_300, false);
    assert!(pass(&mut pool, 1_300).is_empty());
    answer(&mut pool, 1_400, &worker(), vec![ended]);
    assert!(pass(&mut pool, 1_400).is_empty());
    let progress = store(&mut pool).expect("the job is stored");
    assert_eq!(progress.state, State::Failed);
}

/// Guards against a job that waits for good for a worker whose entry has expired and that never answers again.
#[test]
fn ends_of_unread_jobs_are_waited_for_no_longer_than_the_lease_lasts() {
    let (mut pool, _) = next_owner_with_unknown_end(RunOutcome::Done);
    load_job(&mut pool, 1_300);
    pool.mark_unresponsive(&worker());
    // Workers' clocks may be 2% slow, and 400 ms are left for delays.
    let lapsed = EXPIRED + LEASE + LEASE / 33 + 400;
    let start = (1_300..20_000)
        .step_by(100)
        .find(|&now| !pass(&mut pool, now).is_empty());
    let start = start.expect("the task starts");
    assert!((lapsed..lapsed + 300).contains(&start), "{start}, {lapsed}");
    assert!(pool.worker(&worker()).is_none(), "the worker is forgotten");
}

/// Guards against a worker that stays known for good: it answers, but the directory has dropped it, and nothing of it matters.
#[test]
fn a_worker_without_runs_and_ends_is_forgotten_with_its_entry() {
    let mut pool = next_owner();
    pool.deregister_worker(&worker());
    assert!(pass(&mut pool, 1_200).is_empty());
    assert!(pool.worker(&worker()).is_none());
}

/// Guards against an owner after the next one that doesn't wait for a worker with ends of unread jobs, as the roster doesn't name it.
#[test]
fn the_roster_names_workers_with_ends_of_unread_jobs() {
    let (mut pool, _) = next_owner_with_unknown_end(RunOutcome::Done);
    assert!(pass(&mut pool, 1_200).is_empty());
    assert!(pool.roster(1_200).contains(&worker()));
    pool.mark_unresponsive(&worker());
    assert!(pool.roster(1_300).contains(&worker()));
    assert!(pool.unavailable_workers(1_300).is_empty());
}

/// Guards against a roster that is stored before the progress and doesn't name a worker whose ends were applied: the next owner would
/// start their tasks again.
#[test]
fn the_roster_names_workers_with_ends_that_are_not_stored() {
    for unresponsive in [false, true] {
        let mut pool = case::pool(3);
        case::adopt(&mut pool, 1_000, job(JOB, &[(2, 1_000, 800)]));
        let started = case::run(&mut pool, 1_000);
        let id = started[0].worker.clone();
        let ended = started.iter().filter(|start| start.worker == id);
        let ended = ended
            .zip(1..)
            .map(|(start, number)| end(start, number, RunOutcome::Done));
        report(&mut pool, 1_900, &id, vec![], ended.collect());
        if unresponsive {
            pool.mark_unresponsive(&id);
        }
        pool.deregister_worker(&id);
        drop(pool.schedule(1_900, UNIX + 1_900));
        assert!(pool.roster(1_900).contains(&id), "{unresponsive}");
        store(&mut pool);
        drop(pool.schedule(1_950, UNIX + 1_950));
        assert!(!pool.roster(1_950).contains(&id), "{unresponsive}");
    }
}

/// A report of the worker that lists nothing, sent before the ends that it has listed.
fn overtaken_report() -> WorkerReport {
    WorkerReport {
        clock: EXPIRED + 50_000 - 20,
        incarnation: 1,
        lease: EXPIRED + 55_000 - 20,
        requested_at: EXPIRED - 20,
        ..WorkerReport::default()
    }
}

/// Guards against a task that starts again: a report that was overtaken by one that lists the end of its run makes the owner forget the end.
#[test]
fn an_overtaken_report_does_not_replace_the_listed_ends() {
    let (mut pool, _) = next_owner_with_unknown_end(RunOutcome::Done);
    pool.apply_report(1_150, UNIX + 1_150, &worker(), &overtaken_report());
    load_job(&mut pool, 1_200);
    assert!(pass(&mut pool, 1_200).is_empty());
}

/// As above; the overtaken report arrives while the job waits for the worker to list the end again.
#[test]
fn an_overtaken_report_does_not_end_the_wait_for_listed_ends() {
    let (mut pool, ended) = next_owner_with_unknown_end(RunOutcome::Done);
    load_job(&mut pool, 1_200);
    pool.apply_report(1_250, UNIX + 1_250, &worker(), &overtaken_report());
    assert!(pass(&mut pool, 1_300).is_empty());
    answer(&mut pool, 1_400, &worker(), vec![ended]);
    assert!(pass(&mut pool, 1_400).is_empty());
    assert_eq!(store(&mut pool).map(|it| it.state), Some(State::Completed));
}

/// Progress of a task with three crash records, one of them confirmed. The former owner didn't know the outcome of the third start, on the
/// worker of these tests.
fn progress_of_suspect() -> Progress {
    let step = StepProgress {
        crashed: vec![(0, vec![1, 2, 3])],
        unconfirmed: vec![(0, vec![2, 3])],
        unresolved: vec![UnresolvedStart {
            task: 0,
            run: 3,
            worker: worker(),
            incarnation: 1,
        }],
        highest_run: 3,
        ..StepProgress::default()
    };
    Progress {
        state: State::Running,
        open: vec![OccurrenceProgress {
            number: 0,
            steps: vec![step],
        }],
        ..Progress::default()
    }
}

/// The next owner reads a suspect's job while the entry of its last worker is missing.
fn next_owner_of_suspect() -> Pool {
    let mut pool = next_owner();
    pool.deregister_worker(&worker());
    assert!(pass(&mut pool, 1_200).is_empty());
    let job = Arc::new(inherited_job(1));
    let progress = progress_of_suspect();
    pool.adopt(1_300, UNIX + 1_300, job, Some(&progress), true);
    pool.set_jobs_incomplete(1_300, false);
    pool
}

/// Guards against a job that fails although no task of it has failed: a start counts as a crash of its worker because the worker's entry has
/// expired in an outage of the store.
#[test]
fn a_missing_entry_is_no_proof_of_a_crash() {
    let mut pool = next_owner_of_suspect();
    for now in (1_300..3_300).step_by(100) {
        drop(pass(&mut pool, now));
        assert_ne!(pool.state(JOB), Some(State::Failed), "at {now}");
        assert!(pool.take_abandoned_tasks().is_empty(), "at {now}");
    }
    describe(&mut pool, 3_300, &worker(), 1);
    report(&mut pool, 3_300, &worker(), vec![], vec![]);
    let started = (3_300..5_000).step_by(100).find_map(|now| {
        report(&mut pool, now, &worker(), vec![], vec![]);
        store(&mut pool);
        pass(&mut pool, now).pop()
    });
    assert!(pool.take_abandoned_tasks().is_empty());
    assert_eq!(started.map(|start| start.crashes), Some(2));
}

/// Guards against a task that crashes its workers and is never given up: its last worker doesn't come back.
#[test]
fn an_entry_that_stays_missing_is_a_proof_of_a_crash() {
    let mut pool = next_owner_of_suspect();
    for now in (1_300..6_000).step_by(100) {
        drop(pass(&mut pool, now));
    }
    assert_eq!(pool.take_abandoned_tasks().len(), 1);
}
