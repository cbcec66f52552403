//! Workers that turn several times slower while they run tasks.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod world;

use case::{adopt, hold, pool, run};
use pool::{Pool, Running, Start, WorkerId};
use world::job;

/// A worker lists its runs, of which this many percent are done.
fn list(pool: &mut Pool, now: u64, worker: &WorkerId, runs: &[Start], percent: u32) {
    let there = runs.iter().filter(|start| start.worker == *worker);
    let running = there.map(|start| Running {
        task: start.task.clone(),
        run: start.run,
        saved: String::new(),
        percent,
        load: 0,
    });
    hold(pool, now, worker, running.collect(), vec![]);
}

/// Starts tasks of this many jobs on two workers; by best fit they are filled one after the other.
fn started(pool: &mut Pool, jobs: u32) -> Vec<Start> {
    for at in 0..jobs {
        let id = format!("00000000000000s{at}");
        adopt(pool, 1_000, job(&id, &[(1, 500, 600)]));
    }
    run(pool, 1_001)
}

/// Where the next quick task goes.
fn next(pool: &mut Pool, now: u64) -> WorkerId {
    adopt(pool, now, job("00000000000000n0", &[(1, 500, 600)]));
    run(pool, now + 1)[0].worker.clone()
}

/// Guards against quick tasks that go on being put on a worker that has turned slow: until its first task had ended, which takes
/// seven times as long, nothing was known of it.
#[test]
fn a_worker_whose_tasks_hardly_move_gets_no_quick_task() {
    let mut pool = pool(2);
    let runs = started(&mut pool, 3);
    let slow = runs[0].worker.clone();
    assert!(runs.iter().all(|start| start.worker == slow));
    list(&mut pool, 1_400, &slow, &runs, 9);
    assert_ne!(next(&mut pool, 1_410), slow);
}

/// Guards against a sound worker that is avoided because one job's estimate is far too short.
#[test]
fn one_job_alone_is_no_evidence() {
    let mut pool = pool(2);
    adopt(&mut pool, 1_000, job("00000000000000s0", &[(3, 500, 600)]));
    let runs = run(&mut pool, 1_001);
    let sound = runs[0].worker.clone();
    assert!(runs.iter().all(|start| start.worker == sound));
    list(&mut pool, 1_400, &sound, &runs, 9);
    assert_eq!(next(&mut pool, 1_410), sound);
}

/// Guards against a worker that is avoided for long after it has become fast again.
#[test]
fn a_worker_that_is_fast_again_is_used_again() {
    let mut pool = pool(2);
    let runs = started(&mut pool, 3);
    let first = runs[0].worker.clone();
    list(&mut pool, 1_400, &first, &runs, 9);
    let mut others = Vec::new();
    for at in 0..2 {
        let id = format!("00000000000000t{at}");
        adopt(&mut pool, 1_410, job(&id, &[(1, 500, 600)]));
        others.extend(run(&mut pool, 1_411));
    }
    let second = others[0].worker.clone();
    assert!(others.iter().all(|start| start.worker == second) && second != first);
    for at in 1..6 {
        list(&mut pool, 1_400 + at * 20, &first, &runs, 70 + at as u32);
    }
    list(&mut pool, 1_800, &second, &others, 20);
    assert_eq!(next(&mut pool, 1_810), first, "the other one is slow now");
}
