//! Jobs with very many times that are due: what an owner keeps and does must not grow with their number.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, answer, end, report, running, starts, store};
use pool::{
    Job, MAX_OPEN_OCCURRENCES, Options, Pool, RunOutcome, Schedule, Start, State, WorkerId,
};
use resource::Size;
use simulation::{Simulation, UNIX, job};

const JOB: &str = "00000000000000a1";

/// A job of tasks so small that a worker of 4 cores runs 800 of them. All its times are due.
fn repeating(id: &str, tasks: u32, times: u32) -> Job {
    let mut job = job(id, &[(tasks, 5, 100)]);
    job.steps[0].size = Size::new(5, 10, 0);
    job.schedule = Some(Schedule {
        first: 0,
        every: 1_000,
        times,
    });
    job
}

fn id(index: usize) -> String {
    format!("{index:016x}")
}

/// Guards against an owner that exceeds its memory limit, as does each one after it: the occurrences of all times that are due begin at
/// once, with the state of all their tasks.
#[test]
fn the_occurrences_in_progress_do_not_grow_with_the_times_of_a_job() {
    for (tasks, times, most) in [
        (1, 1_000_000, MAX_OPEN_OCCURRENCES),
        (1, 1_000_000_000, MAX_OPEN_OCCURRENCES),
        (5_000, 1_000, 2),
        (10_000, 1_000, 1),
    ] {
        let mut pool = case::pool(3);
        adopt(&mut pool, 1_000, repeating(JOB, tasks, times));
        drop(pool.schedule(1_001, UNIX + 1_001));
        let occurrences = pool.occurrences();
        assert_eq!(occurrences.open, most, "{tasks} tasks, {times} times");
        assert_eq!(occurrences.waiting, u64::from(times) - most as u64);
    }
}

/// Guards against the same through many such jobs, which an owner may take over all at once.
#[test]
fn many_jobs_share_the_occurrences_in_progress() {
    let mut pool = case::pool(3);
    for index in 0..200 {
        adopt(&mut pool, 1_000, repeating(&id(index), 1, 60_000));
    }
    drop(pool.schedule(1_001, UNIX + 1_001));
    let occurrences = pool.occurrences();
    assert!((200..5_000).contains(&occurrences.open), "{occurrences:?}");
    let mut pool = case::pool(3);
    for index in 0..20 {
        adopt(&mut pool, 1_000, repeating(&id(index), 1, 60_000));
        drop(pool.schedule(1_001, UNIX + 1_001));
    }
    let occurrences = pool.occurrences();
    assert!((20..5_000).contains(&occurrences.open), "{occurrences:?}");
    let mut pool = case::pool(3);
    for index in 0..200 {
        adopt(&mut pool, 1_000, repeating(&id(index), 1_000, 1_000));
    }
    drop(pool.schedule(1_001, UNIX + 1_001));
    let occurrences = pool.occurrences();
    assert_eq!(occurrences.open, 200, "each job has one");
}

/// Guards against overflows: times that no clock reaches, and estimates whose sum doesn't fit.
#[test]
fn times_and_estimates_out_of_range_are_no_error() {
    let mut far = repeating(JOB, 1, u32::MAX);
    far.schedule = Some(Schedule {
        first: UNIX,
        every: u64::MAX / 2,
        times: u32::MAX,
    });
    let mut long = job(&id(2), &[(1, 1_000, u64::MAX), (1, 1_000, u64::MAX)]);
    long.policy.objective = u64::MAX;
    let mut pool = case::pool(3);
    adopt(&mut pool, 1_000, far);
    adopt(&mut pool, 1_000, long);
    assert_eq!(starts(pool.schedule(1_001, UNIX + 1_001)).len(), 2);
    assert_eq!(pool.occurrences().open, 1);
}

/// Guards against a window that stays full, or that makes tiny tasks wait with room free: all times are done, and several hundred are in
/// progress at a time.
#[test]
fn all_times_that_are_due_are_done() {
    let mut sim = Simulation::new(1, 2);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(repeating(JOB, 1, 5_000));
    let mut most = 0;
    for _ in 0..200 {
        sim.run_for(50);
        let runs = ["w00", "w01"].map(|id| sim.run_count(&id.into()));
        most = most.max(runs.iter().sum());
    }
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!((sim.starts, sim.unfinished()), (5_000, 0));
    assert!(most > 500, "at most {most} in progress");
}

/// Owners are lost one after the other in the midst of such a job. Guards against tasks that start again because their occurrences had
/// begun under the former owner, and haven't under the next one as far as its window and the stored progress tell.
#[test]
fn occurrences_of_a_former_owner_count_though_its_progress_is_not_stored() {
    for seed in 1..6 {
        let mut sim = Simulation::new(seed, 2);
        sim.start_owner();
        sim.run_for(500);
        sim.accept(repeating(JOB, 1, 4_000));
        for _ in 0..4 {
            sim.run_for(800);
            sim.conditions.store_up = false;
            sim.run_for(200);
            sim.owners.last_mut().expect("an owner").stopped = true;
            sim.conditions.store_up = true;
            sim.start_owner();
        }
        sim.run_for(30_000);
        assert_eq!(sim.violations, Vec::<String>::new());
        assert_eq!((sim.starts, sim.unfinished()), (4_000, 0));
    }
}

/// The next owner of a pool that knows a job of a million times, with nothing stored of it.
fn next_owner() -> Pool {
    let mut pool = Pool::new(Options {
        epoch: 2,
        ..Options::default()
    });
    let job = Job {
        epoch: 1,
        ..repeating(JOB, 1, 1_000_000)
    };
    pool.adopt(1_000, UNIX + 1_000, Arc::new(job), None, true);
    pool
}

/// A start of an occurrence far behind the window of a new owner.
fn start_behind_the_window() -> Start {
    let mut pool = case::pool(3);
    adopt(&mut pool, 1_000, repeating(JOB, 1, 1_000_000));
    let mut start = starts(pool.schedule(1_001, UNIX + 1_001)).remove(0);
    start.task.stage.occurrence = 700_000;
    start
}

/// Guards against a run that is stopped, and against an end that is forgotten, because the occurrence has begun under the former owner only.
#[test]
fn a_reported_occurrence_behind_the_window_is_adopted() {
    let worker: WorkerId = "w00".into();
    let start = start_behind_the_window();
    let mut pool = next_owner();
    case::register_workers(&mut pool, 3);
    report(&mut pool, 1_010, &worker, vec![running(&start)], vec![]);
    let commands = pool.schedule(1_020, UNIX + 1_020);
    assert_eq!(case::stops(&commands), 0);
    answer(
        &mut pool,
        1_100,
        &worker,
        vec![end(&start, 1, RunOutcome::Done)],
    );
    let progress = store(&mut pool).expect("the job is stored");
    assert!(progress.over.contains(&700_000));
}

/// Guards against a row that grows with the number of finished occurrences, which are listed one by one.
#[test]
fn finished_occurrences_in_order_take_no_space() {
    let mut sim = Simulation::new(1, 2);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(repeating(JOB, 1, 5_000));
    sim.run_for(20_000);
    assert_eq!(sim.stored(JOB), Some(State::Completed));
    let bytes = serde_json::to_vec(sim.stored_progress(JOB)).expect("it can be encoded");
    assert!(bytes.len() < 100, "{} bytes", bytes.len());
}

/// Guards against ordinary jobs that wait while a job catches up with its times: these are long past their objectives.
#[test]
fn jobs_handed_in_while_another_catches_up_start_first() {
    let mut pool = case::pool(1);
    let mut backlog = repeating(JOB, 1, 1_000_000);
    backlog.steps[0].size = Size::new(1_000, 10, 0);
    adopt(&mut pool, 1_000, backlog);
    let first = case::run(&mut pool, 1_001);
    assert_eq!(first.len(), 4, "the worker is full");
    adopt(&mut pool, 1_100, job(&id(2), &[(3, 1_000, 5_000)]));
    let ended = (1..).zip(&first);
    let ended = ended.map(|(number, start)| end(start, number, RunOutcome::Done));
    report(&mut pool, 1_110, &"w00".into(), vec![], ended.collect());
    let next = case::run(&mut pool, 1_120);
    let ordinary = next.iter().filter(|start| *start.job.id == *id(2));
    assert_eq!((ordinary.count(), next.len()), (3, 4));
}
