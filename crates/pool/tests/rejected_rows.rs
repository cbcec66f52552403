//! Progress that the store rejects: which ends wait for it, and which don't.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, report, run};
use pool::{Batch, Job, Pool, RunOutcome, Start, State, WorkerId};
use resource::Size;
use simulation::job;

const REJECTED: &str = "00000000000000a1";

fn other(index: u32) -> String {
    format!("00000000000000b{index}")
}

/// A job of two steps with one task each.
fn two_steps(id: &str) -> Job {
    job(id, &[(1, 1_000, 100), (1, 1_000, 100)])
}

/// Two workers: the first has run the first steps of the job with the rejected row and of three others, in this order of their ends: one
/// of another job, that of the rejected row, those of the other two.
fn pool_with_ends() -> (Pool, WorkerId) {
    let mut pool = case::pool(1);
    adopt(&mut pool, 1_000, two_steps(REJECTED));
    (0..3).for_each(|index| adopt(&mut pool, 1_000, two_steps(&other(index))));
    let started = run(&mut pool, 1_000);
    assert_eq!(started.len(), 4);
    let of = |id: &str| started.iter().find(|start| *start.job.id == *id);
    let order = [other(0), REJECTED.to_owned(), other(1), other(2)];
    let ends = order.iter().zip(1..).filter_map(|(id, number)| {
        let start: &Start = of(id)?;
        Some(end(start, number, RunOutcome::Done))
    });
    let worker = WorkerId::from("w00");
    report(&mut pool, 1_200, &worker, vec![], ends.collect());
    (pool, worker)
}

/// Stores all rows but that of [`REJECTED`], one at a time; returns the batch with the rejected one.
fn store_others(pool: &mut Pool) -> Batch {
    let mut rejected = Batch::default();
    for _ in 0..8 {
        let batch = pool.batch(1);
        if batch.rows.iter().any(|(id, _)| **id == *REJECTED) {
            pool.batch_rejected(&batch);
            rejected = batch;
        } else {
            pool.batch_stored(&batch);
        }
    }
    rejected
}

fn acknowledged(pool: &Pool, worker: &WorkerId) -> u64 {
    pool.worker(worker)
        .map_or(0, |worker| worker.end_cursor().2)
}

/// Guards against one rejected row that holds back all ends of the pool, and against ends that are acknowledged before their progress is
/// stored: those behind the first one of the rejected row on the same worker.
#[test]
fn ends_in_front_of_those_of_a_rejected_row_are_acknowledged() {
    let (mut pool, worker) = pool_with_ends();
    let rejected = store_others(&mut pool);
    assert_eq!(rejected.rows.len(), 1);
    assert_eq!(acknowledged(&pool, &worker), 1);
    pool.batch_failed(&rejected);
    let batch = pool.batch(1);
    assert_eq!(batch.rows.len(), 1, "it is tried again");
    pool.batch_stored(&batch);
    assert_eq!(acknowledged(&pool, &worker), 4);
}

/// Guards against an end that is acknowledged although the row of its job is left over for a later batch.
#[test]
fn ends_of_jobs_that_are_left_for_a_later_batch_are_not_acknowledged() {
    let (mut pool, worker) = pool_with_ends();
    let order = [&other(0), REJECTED, &other(1), &other(2)].map(str::to_owned);
    let mut stored = Vec::new();
    for _ in 0..4 {
        let batch = pool.batch(1);
        stored.extend(batch.rows.iter().map(|(id, _)| id.to_string()));
        pool.batch_stored(&batch);
        let covered = order.iter().take_while(|id| stored.contains(*id)).count();
        assert_eq!(acknowledged(&pool, &worker), covered as u64);
    }
}

/// Guards against a worker that fills up with ends which can't be acknowledged, since the job goes on while its row is rejected.
#[test]
fn a_job_starts_nothing_while_its_row_is_rejected() {
    let (mut pool, worker) = pool_with_ends();
    let rejected = store_others(&mut pool);
    let started = run(&mut pool, 1_300);
    let ids: Vec<&str> = started.iter().map(|start| &*start.job.id).collect();
    assert!(!ids.contains(&REJECTED), "{ids:?}");
    assert_eq!(ids.len(), 3);
    pool.batch_failed(&rejected);
    assert_eq!(run(&mut pool, 1_400).len(), 0, "it isn't stored yet");
    let batch = pool.batch(80);
    pool.batch_stored(&batch);
    report(&mut pool, 1_500, &worker, vec![], vec![]);
    assert_eq!(run(&mut pool, 1_500).len(), 1);
    assert_eq!(pool.state(REJECTED), Some(State::Running));
}

/// Guards against ends that are never read, since none is acknowledged on their worker: it lists 500 of them at a time.
#[test]
fn a_worker_with_ends_of_a_rejected_row_gets_no_more_runs_than_it_can_list() {
    let mut pool = case::pool(1);
    let tiny = |id: &str, tasks| {
        let mut job = job(id, &[(tasks, 5, 60_000)]);
        job.steps[0].size = Size::new(5, 10, 0);
        job
    };
    adopt(&mut pool, 1_000, tiny(REJECTED, 1));
    let started = run(&mut pool, 1_000);
    let worker = WorkerId::from("w00");
    let ended = vec![end(&started[0], 1, RunOutcome::Done)];
    report(&mut pool, 1_100, &worker, vec![], ended);
    assert_eq!(store_others(&mut pool).rows.len(), 1);
    adopt(&mut pool, 1_200, tiny(&other(0), 700));
    let mut runs = Vec::new();
    for now in (1_200..1_500).step_by(10) {
        runs.extend(run(&mut pool, now));
    }
    assert!((400..500).contains(&runs.len()), "{} runs", runs.len());
}
