//! Workers that fell silent with runs of jobs that their owner didn't know yet, when the pool gets another owner.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{register_workers, report, starts};
use pool::{Job, Ms, Options, Pool, RunStatus, StageKey, TaskKey, UnavailableWorker, WorkerId};
use simulation::{UNIX, job};

const KNOWN: &str = "00000000000000a1";
/// A job that the second owner hasn't read: a part of the store is down.
const UNREAD: &str = "00000000000000a2";
/// When the silent worker answered last, with a lease of 5 s.
const LAST_ANSWER: Ms = 1_000;
const LEASE: Ms = 5_000;

fn pool(epoch: u64) -> Pool {
    let options = Options {
        epoch,
        requested_lease: LEASE,
        ..Options::default()
    };
    Pool::new(options)
}

fn job_of_first_owner(id: &str) -> Job {
    Job {
        epoch: 1,
        ..job(id, &[(1, 1_000, 60_000)])
    }
}

fn task(id: &str) -> TaskKey {
    let stage = StageKey {
        job: id.into(),
        occurrence: 0,
        step: 0,
    };
    stage.task(0)
}

fn silent() -> WorkerId {
    "w03".into()
}

fn unread_run() -> RunStatus {
    RunStatus {
        task: task(UNREAD),
        run: 1,
        checkpoint: String::new(),
        percent: 5,
        load: 0,
    }
}

fn load(pool: &mut Pool, now: Ms, id: &str) {
    let job = Arc::new(job_of_first_owner(id));
    pool.adopt(now, UNIX + now, job, None, true);
}

/// All workers but the silent one answer.
fn answer(pool: &mut Pool, now: Ms) {
    for index in 0..3 {
        let id: WorkerId = format!("w{index:02}").into();
        report(pool, now, &id, vec![], vec![]);
    }
}

/// An owner to which a worker has reported a run of a job that it hasn't read.
fn second_owner() -> Pool {
    let mut pool = pool(2);
    pool.set_jobs_incomplete(LAST_ANSWER, true);
    register_workers(&mut pool, 4);
    let runs = vec![unread_run()];
    report(&mut pool, LAST_ANSWER, &silent(), runs, vec![]);
    pool
}

/// When the next owner starts the job that the one before hasn't read. It begins at `from`, and three workers answer it.
fn start_under_next_owner(
    epoch: u64,
    from: Ms,
    roster: Vec<WorkerId>,
    unavailable: &[UnavailableWorker],
) -> Option<Ms> {
    let mut pool = pool(epoch);
    load(&mut pool, from, UNREAD);
    pool.inherit(from, roster, unavailable);
    register_workers(&mut pool, 3);
    (from..from + 20_000).step_by(50).find(|&now| {
        answer(&mut pool, now);
        !starts(pool.schedule(now, UNIX + now)).is_empty()
    })
}

/// Guards against a second run beside the first: a worker falls silent with a run of a job that its owner hasn't read, and the owner names
/// the worker to the next one neither among those that may be used nor among those that can't be reached.
#[test]
fn a_silent_worker_with_a_run_of_an_unread_job_is_named_to_the_next_owner() {
    let mut second = second_owner();
    let mut now = LAST_ANSWER;
    for _ in 0..20 {
        now += 100;
        answer(&mut second, now);
        drop(second.schedule(now, UNIX + now));
    }
    let roster = second.roster(now);
    let unavailable = second.unavailable_workers(now);
    let start = start_under_next_owner(3, now, roster, &unavailable);
    let start = start.expect("it starts in the end");
    assert!(start >= LAST_ANSWER + LEASE, "{start}");
}

/// Guards against the same for a worker that answers, but that the directory has dropped.
#[test]
fn a_dropped_worker_with_a_run_of_an_unread_job_stays_in_the_roster() {
    let mut second = second_owner();
    second.deregister_worker(&silent());
    let roster = second.roster(LAST_ANSWER + 100);
    assert!(roster.contains(&silent()), "{roster:?}");
}

/// Guards against a second run beside the first: an owner can't reach a worker that the one before couldn't reach either, hasn't read one
/// of the jobs that may run there, and names the worker to the next owner without that run.
#[test]
fn runs_of_unread_jobs_on_unavailable_workers_are_handed_on() {
    let (last_answer, takeover) = (800, 1_000);
    for registered in [true, false] {
        let handed_over = UnavailableWorker {
            worker: silent(),
            runs: vec![(task(KNOWN), 1), (task(UNREAD), 1)],
            incarnation: 1,
        };
        let mut second = pool(2);
        second.set_jobs_incomplete(takeover, true);
        if registered {
            // Only its row is known; it doesn't answer this owner.
            let info = pool::WorkerInfo {
                service: "s".into(),
                incarnation: 1,
                ..pool::WorkerInfo::default()
            };
            second.update_worker(takeover, &silent(), info);
            load(&mut second, takeover, KNOWN);
        }
        register_workers(&mut second, 3);
        second.inherit(takeover, [], &[handed_over]);
        let mut now = takeover;
        for _ in 0..5 {
            now += 100;
            answer(&mut second, now);
            drop(second.schedule(now, UNIX + now));
        }
        let roster = second.roster(now);
        let unavailable = second.unavailable_workers(now);
        let start = start_under_next_owner(3, now, roster, &unavailable);
        let start = start.expect("it starts in the end");
        assert!(
            start >= last_answer + LEASE,
            "{start}, registered: {registered}"
        );
    }
}
