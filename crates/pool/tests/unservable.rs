//! Unservable jobs: jobs that the pool can no longer run with the workers it has.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{end, pool, report, report_all, run, starts};
use pool::{Pool, RunEnd, RunOutcome, RunStatus, StageKey, State, TaskKey, WorkerId};
use simulation::{UNIX, job};

/// A pool of which a worker is lost, with a job that needs all four and is to be transferred.
fn pool_with_unservable_job() -> Pool {
    let mut pool = pool(4);
    let mut wide = job("wide", &[(4, 4_000, 500)]);
    wide.steps[0].gang = true;
    pool.adopt(1_000, UNIX + 1_000, Arc::new(wide), None, false);
    pool.adopt(
        1_000,
        UNIX + 1_000,
        Arc::new(job("narrow", &[(1, 4_000, 500)])),
        None,
        false,
    );
    pool.deregister_worker("w03");
    pool.mark_unresponsive(&"w03".into());
    assert!(
        pool.unservable_jobs(1_100).is_empty(),
        "the worker may still come back"
    );
    let mut leaving = Vec::new();
    for now in (1_200..5_000).step_by(100) {
        for id in ["w00", "w01", "w02"] {
            report(&mut pool, now, &id.into(), vec![], vec![]);
        }
        leaving = pool.unservable_jobs(now);
        if !leaving.is_empty() {
            break;
        }
    }
    assert_eq!(leaving, vec!["wide".into()]);
    pool
}

/// A gang needs all four workers, and one of them is lost. After a delay in which the worker could have come back, the job is
/// to be transferred to another pool. Once it is transferred, an outdated row of it must not bring it back.
#[test]
fn a_job_that_an_empty_pool_could_not_run_is_transferred() {
    let mut pool = pool_with_unservable_job();
    pool.remove_transferred(&"wide".into());
    assert!(!pool.contains_job("wide"));
    let outdated = job("wide", &[(1, 1_000, 500)]);
    pool.adopt(5_000, UNIX + 5_000, Arc::new(outdated), None, false);
    assert!(
        !pool.contains_job("wide"),
        "the outdated row would run the job a second time"
    );
}

/// Guards against a cancelled job that runs: this pool stores and confirms the cancellation while another pool has the job.
#[test]
fn nothing_is_stored_about_a_job_that_may_be_in_another_pool() {
    let mut pool = pool_with_unservable_job();
    assert!(pool.begin_transfer("wide").is_some());
    pool.cancel(UNIX + 6_000, "wide");
    assert!(pool.batch(80).rows.is_empty(), "the outcome isn't known");
    pool.transfer_failed("wide");
    let batch = pool.batch(80);
    assert_eq!(batch.rows.len(), 1);
    assert_eq!(batch.rows[0].1.state, State::Cancelled);
    assert!(pool.begin_transfer("wide").is_none());
}

/// Guards against workers that keep the ends of all their runs, and a writer that never waits, while the outcome of one transfer is
/// unknown.
#[test]
fn a_transfer_in_doubt_delays_no_other_job() {
    let mut pool = pool_with_unservable_job();
    assert!(pool.begin_transfer("wide").is_some());
    pool.cancel(UNIX + 6_000, "wide");
    for id in ["w00", "w01", "w02"] {
        report(&mut pool, 6_000, &id.into(), vec![], vec![]);
    }
    let started = run(&mut pool, 6_010);
    assert_eq!(started.len(), 1, "the other job runs");
    let worker = started[0].worker.clone();
    let done = end(&started[0], 1, RunOutcome::Done);
    report(&mut pool, 6_100, &worker, vec![], vec![done]);
    let batch = pool.batch(80);
    assert_eq!(batch.rows.len(), 1);
    assert_eq!(batch.ends.len(), 1);
    pool.batch_stored(&batch);
    assert!(!pool.has_unstored());
    assert!(!pool.urgent());
}

/// Guards against capacity that stays reserved for a run of a job that is now in another pool. The start command was carried out
/// late, after the write of the transfer was sent.
#[test]
fn a_run_of_a_transferred_job_keeps_no_capacity() {
    let mut pool = pool_with_unservable_job();
    assert!(pool.begin_transfer("wide").is_some());
    let stage = StageKey {
        job: "wide".into(),
        occurrence: 0,
        step: 0,
    };
    let late = RunStatus {
        task: stage.task(0),
        run: 1,
        checkpoint: String::new(),
        percent: 0,
        load: 0,
    };
    report(&mut pool, 6_000, &"w00".into(), vec![late], vec![]);
    let free = |pool: &Pool| pool.worker("w00").map(|it| it.free_capacity().millicores);
    assert_eq!(free(&pool), Some(0));
    pool.remove_transferred(&"wide".into());
    assert_eq!(free(&pool), Some(4_000));
}

/// A job that would fit into the empty pool stays there while other jobs use the capacity.
#[test]
fn a_job_that_only_waits_for_capacity_stays() {
    let mut pool = pool(2);
    pool.adopt(
        1_000,
        UNIX + 1_000,
        Arc::new(job("first", &[(2, 4_000, 60_000)])),
        None,
        false,
    );
    let runs = starts(pool.schedule(1_010, UNIX + 1_010));
    assert_eq!(runs.len(), 2);
    pool.adopt(
        1_020,
        UNIX + 1_020,
        Arc::new(job("second", &[(2, 4_000, 500)])),
        None,
        false,
    );
    for now in (1_100..9_000).step_by(100) {
        report_all(&mut pool, now, &runs);
        assert!(pool.unservable_jobs(now).is_empty());
    }
}

/// Guards against a task that starts again: its end is held back while the transfer of its job is in doubt, and a later end of an unknown job
/// that is skipped acknowledges both.
#[test]
fn an_end_held_back_for_a_transfer_is_not_skipped_with_a_later_one() {
    let mut pool = case::pool(2);
    let mut unservable = job("00000000000000a1", &[(1, 1_000, 800)]);
    unservable.steps[0].label = "missing".into();
    let id = unservable.id.clone();
    case::adopt(&mut pool, 1_000, unservable);
    for now in (1_000..6_000).step_by(500) {
        for worker in ["w00", "w01"] {
            case::report(&mut pool, now, &worker.into(), vec![], vec![]);
        }
        drop(pool.unservable_jobs(now));
    }
    assert!(pool.begin_transfer(&id).is_some());
    let done = |number, job: &str| RunEnd {
        number,
        task: TaskKey {
            stage: StageKey {
                job: job.into(),
                occurrence: 0,
                step: 0,
            },
            index: 0,
        },
        run: 1,
        outcome: RunOutcome::Done,
        checkpoint: String::new(),
    };
    let worker: WorkerId = "w00".into();
    let ends = vec![done(1, &id), done(2, "00000000000000ff")];
    for now in [6_000, 9_500, 13_000] {
        case::report(&mut pool, now, &worker, vec![], ends.clone());
    }
    let applied = pool.worker(&worker).map(|it| it.end_cursor().1);
    assert_eq!(applied, Some(0));
    pool.transfer_failed(&id);
    case::report(&mut pool, 13_100, &worker, vec![], ends);
    assert_eq!(
        case::store(&mut pool).map(|it| it.state),
        Some(State::Completed)
    );
}
