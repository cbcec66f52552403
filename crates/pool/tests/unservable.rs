//! Unservable jobs: jobs that the pool can no longer run with the workers it has.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{pool, report, report_all, starts};
use pool::{Pool, State};
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
