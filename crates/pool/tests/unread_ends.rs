//! Workers with more ended runs than a report lists: a task whose end is unread must not start again.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, report, run, running};
use pool::{Job, Pool, RunEnd, RunOutcome, Start, State, WorkerId};
use rand::Rng as _;
use resource::Size;
use simulation::{Simulation, UNIX};

/// Largest number of ends in a report.
const PAGE: usize = 500;

/// A job of tasks so small that a worker runs 800 of them.
fn small_tasks(id: &str, tasks: u32, duration: u64) -> Job {
    let mut job = simulation::job(id, &[(tasks, 5, duration)]);
    job.steps[0].size = Size::new(5, 10, 0);
    job
}

fn worker(index: usize) -> WorkerId {
    format!("w{index:02}").into()
}

/// Two workers on which an owner has started these tasks.
fn busy_cell(seed: u64, tasks: u32, duration: u64) -> Simulation {
    busy_cell_of(seed, 2, tasks, duration)
}

fn busy_cell_of(seed: u64, workers: usize, tasks: u32, duration: u64) -> Simulation {
    let mut sim = Simulation::new(seed, workers);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(small_tasks("00000000000000a1", tasks, duration));
    sim.run_for(300);
    assert_eq!(sim.starts, tasks as usize, "all tasks run");
    sim
}

fn assert_each_task_ran_once(sim: &Simulation, tasks: usize) {
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts, tasks, "nothing was started a second time");
    assert_eq!(sim.unfinished(), 0, "{}", sim.report());
}

/// The owner is lost while each worker has more ends than a report lists. Guards against a new owner that takes the first page of
/// ends for all, and starts the tasks of the others again.
#[test]
fn a_new_owner_starts_no_task_whose_end_is_behind_the_first_page() {
    for tasks in [1_100, 1_600] {
        let mut sim = busy_cell(1, tasks, 800);
        sim.owners[0].stopped = true;
        sim.run_for(900);
        sim.start_owner();
        sim.run_for(5_000);
        assert_each_task_ran_once(&sim, tasks as usize);
    }
}

/// As above, with a store that takes no writes until the former owner's leases are long over. Guards against a wait for the ends that
/// ends by time.
#[test]
fn unread_ends_are_waited_for_while_the_store_takes_no_writes() {
    let mut sim = busy_cell(2, 1_400, 800);
    sim.owners[0].stopped = true;
    sim.conditions.store_up = false;
    sim.run_for(900);
    sim.start_owner();
    sim.run_for(15_000);
    assert_eq!(sim.starts, 1_400, "nothing was started a second time");
    sim.conditions.store_up = true;
    sim.run_for(5_000);
    assert_each_task_ran_once(&sim, 1_400);
}

/// The new owner is lost before it has read all ends, and the next one reaches the workers only later. Guards against an owner that
/// leaves such workers out of the roster.
#[test]
fn the_owner_after_one_that_has_not_read_all_ends_waits_for_the_worker() {
    let mut sim = busy_cell(3, 1_400, 800);
    sim.owners[0].stopped = true;
    sim.run_for(900);
    sim.start_owner();
    sim.run_for(60);
    sim.conditions.store_up = false;
    // The owner hears nothing of one worker any more, and stores that.
    sim.disconnect(&worker(0), 2);
    sim.run_for(1_700);
    sim.conditions.store_up = true;
    sim.run_for(40);
    sim.owners[1].stopped = true;
    sim.disconnect(&worker(0), 3);
    sim.start_owner();
    sim.run_for(1_000);
    assert_eq!(sim.starts, 1_400, "nothing was started a second time");
    for worker in sim.workers.values_mut() {
        worker.disconnected_owners.clear();
    }
    sim.run_for(6_000);
    assert_each_task_ran_once(&sim, 1_400);
}

/// A worker with unread ends is lost. Guards against jobs that wait for its ends for good.
#[test]
fn a_worker_that_is_lost_with_unread_ends_is_not_waited_for() {
    let mut sim = busy_cell_of(4, 3, 2_000, 800);
    sim.owners[0].stopped = true;
    sim.conditions.store_up = false;
    sim.run_for(900);
    sim.start_owner();
    sim.run_for(500);
    sim.crash(&worker(0), u64::MAX / 2);
    sim.conditions.store_up = true;
    sim.run_for(15_000);
    assert_eq!(sim.unfinished(), 0, "{}", sim.report());
}

/// The former owner couldn't reach a worker and stored its runs; all of them have ended when the new owner reaches it. Guards against
/// taking the runs behind the first page for commands that were never carried out.
#[test]
fn runs_of_an_unavailable_worker_that_ended_behind_the_first_page_count() {
    let mut sim = busy_cell(5, 1_500, 6_000);
    sim.disconnect(&worker(0), 1);
    sim.run_for(2_500);
    sim.owners[0].stopped = true;
    sim.run_for(3_200);
    sim.start_owner();
    sim.run_for(6_000);
    assert_each_task_ran_once(&sim, 1_500);
}

/// The store takes no writes for some seconds, so that workers keep more ends than they list. Guards against tasks that are taken
/// for stalled, or for never started, and workers that are suspected, since their ends are unread.
#[test]
fn tasks_whose_ends_are_unread_under_the_same_owner_are_left_alone() {
    let mut sim = busy_cell(6, 1_500, 800);
    sim.conditions.store_up = false;
    sim.run_for(8_000);
    let pool = &mut sim.owners[0].pool;
    let stalled = pool.take_stalled_runs().len();
    assert_eq!(stalled, 0, "no run has stalled");
    assert_eq!(pool.take_worker_suspicions().len(), 0);
    sim.conditions.store_up = true;
    sim.run_for(4_000);
    assert_each_task_ran_once(&sim, 1_500);
}

/// Ends that belong to another job of many tasks on the same worker, numbered from 1.
fn page_of_ends(others: &[Start]) -> Vec<RunEnd> {
    let ends = others.iter().zip(1..);
    ends.take(PAGE)
        .map(|(start, number)| end(start, number, RunOutcome::Done))
        .collect()
}

/// A pool with one worker on which 600 small tasks run.
fn full_worker() -> (Pool, Vec<Start>) {
    let mut pool = case::pool(1);
    adopt(
        &mut pool,
        1_000,
        small_tasks("00000000000000b1", 600, 5_000),
    );
    let mut started = Vec::new();
    for now in 1_001..1_020 {
        started.extend(run(&mut pool, now));
    }
    assert_eq!(started.len(), 600);
    (pool, started)
}

/// A start command without an answer was carried out, and the task has ended behind the first page. Guards against taking it for a
/// command that has expired.
#[test]
fn an_unconfirmed_start_that_ended_behind_the_first_page_is_not_repeated() {
    let (mut pool, others) = full_worker();
    adopt(&mut pool, 1_030, small_tasks("00000000000000c1", 1, 100));
    let started = case::starts(pool.schedule(1_031, UNIX + 1_031));
    assert_eq!(started.len(), 1);
    let start = &started[0];
    pool.start_answered(1_500, start, pool::StartAnswer::Lost);
    let rest: Vec<_> = others[PAGE..].iter().map(running).collect();
    let id = start.worker.clone();
    report(&mut pool, 4_000, &id, rest.clone(), page_of_ends(&others));
    let again = case::starts(pool.schedule(4_001, UNIX + 4_001));
    assert!(again.iter().all(|it| it.task != start.task), "it has ended");
    case::store(&mut pool);
    let done = vec![end(start, 601, RunOutcome::Done)];
    report(&mut pool, 4_100, &id, rest, done);
    let again = case::starts(pool.schedule(4_101, UNIX + 4_101));
    assert!(again.is_empty(), "all tasks run or have ended");
    assert_eq!(pool.state("00000000000000c1"), Some(State::Running));
}

/// A run of a job that isn't known yet was reported, and has ended behind the first page when the job's row arrives. Guards against
/// starting the job beside the unread end.
#[test]
fn a_job_that_becomes_known_after_its_run_ended_behind_the_first_page_is_not_started() {
    let (mut pool, others) = full_worker();
    let mut unknown = others[0].clone();
    unknown.task.stage.job = "00000000000000d1".into();
    unknown.task.index = 0;
    let all: Vec<_> = others.iter().chain([&unknown]).map(running).collect();
    let id = unknown.worker.clone();
    report(&mut pool, 2_000, &id, all, vec![]);
    let rest: Vec<_> = others[PAGE..].iter().map(running).collect();
    report(&mut pool, 2_500, &id, rest.clone(), page_of_ends(&others));
    adopt(&mut pool, 2_600, small_tasks("00000000000000d1", 1, 100));
    let started = case::starts(pool.schedule(2_601, UNIX + 2_601));
    assert!(started.is_empty(), "it has ended");
    case::store(&mut pool);
    let done = vec![end(&unknown, 601, RunOutcome::Done)];
    report(&mut pool, 2_700, &id, rest, done);
    let started = case::starts(pool.schedule(2_701, UNIX + 2_701));
    assert!(started.is_empty(), "it has ended");
}

/// A worker ends its tasks faster than their ends are stored. Guards against inherited jobs that wait for good, since there is always
/// another end to be read.
#[test]
fn inherited_work_starts_although_workers_are_busy_with_short_tasks() {
    let mut sim = busy_cell(7, 1_500, 800);
    sim.accept(small_tasks("00000000000000e1", 200, 500));
    sim.owners[0].stopped = true;
    sim.run_for(900);
    sim.start_owner();
    for index in 0..40_u64 {
        sim.accept(small_tasks(&format!("{index:016}"), 200, 20));
        sim.run_for(50);
    }
    assert_eq!(sim.stored("00000000000000e1"), Some(State::Completed));
    sim.run_for(8_000);
    assert_each_task_ran_once(&sim, 1_700 + 40 * 200);
}

/// Owners are replaced and the store takes no writes at times, while workers have many short tasks. Guards against any second start
/// of a task that has ended.
#[test]
fn no_task_starts_again_across_owners_and_outages_of_the_store() {
    for seed in 0..6 {
        let mut sim = Simulation::new(seed, 3);
        sim.start_owner();
        sim.run_for(500);
        let mut tasks = 0;
        for index in 0..24_u64 {
            let count = sim.rng.random_range(50..500);
            tasks += count as usize;
            let duration = sim.rng.random_range(100..900);
            sim.accept(small_tasks(&format!("{index:016}"), count, duration));
            let time = sim.rng.random_range(20..300);
            sim.run_for(time);
            match sim.rng.random_range(0..5) {
                0 => sim.conditions.store_up = !sim.conditions.store_up,
                1 => {
                    if let Some(owner) = sim.owners.last_mut() {
                        owner.stopped = true;
                    }
                    let pause = sim.rng.random_range(100..1_000);
                    sim.run_for(pause);
                    sim.start_owner();
                }
                _ => {}
            }
        }
        sim.conditions.store_up = true;
        sim.run_for(15_000);
        assert_each_task_ran_once(&sim, tasks);
    }
}
