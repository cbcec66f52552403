//! Rows of the table of jobs in the orders in which an owner may receive them.

use std::sync::Arc;

use host::Row;
use host::job_rows::{Filter, ProgressById, apply, load};
use host::swept_jobs::SweptJobs;
use pool::{
    Command, Job, Options, Pool, Progress, State, Step, WorkerId, WorkerInfo, WorkerReport,
};
use resource::Size;

const UNIX: u64 = 1_700_000_000_000;
const NOW: u64 = 1_000;
const POOL: u32 = 2;
const JOB: &str = "00000000000000c1";
/// The transaction as of which the owner has read the jobs.
const READ_AS_OF: u64 = 10;

/// A pool with an idle worker.
fn pool() -> Pool {
    let mut pool = Pool::new(Options::default());
    let id: WorkerId = "w0".into();
    let info = WorkerInfo {
        address: id.to_string(),
        service: "s".into(),
        capacity: Size::new(4_000, 10_000, 0),
        incarnation: 1,
        ..WorkerInfo::default()
    };
    pool.update_worker(NOW, &id, info);
    pool.set_stored_roster(&[Arc::clone(&id)]);
    let report = WorkerReport {
        clock: 50_000,
        incarnation: 1,
        lease: 55_000,
        requested_at: NOW,
        ..WorkerReport::default()
    };
    pool.apply_report(NOW, UNIX, &id, &report);
    pool
}

fn row(key: &str, version: u64, value: Vec<u8>) -> Row {
    Row {
        table: "jobs".into(),
        part: "jobs-1".into(),
        key: key.into(),
        value: Some(value),
        version,
    }
}

/// The row of a job of the pool with one task.
fn job_row(version: u64) -> Row {
    let job = Job {
        id: JOB.into(),
        queue: "q".into(),
        service: "s".into(),
        steps: vec![Step {
            count: 1,
            size: Size::new(1_000, 100, 0),
            estimate: 500,
            ..Step::default()
        }],
        accepted: UNIX,
        ..Job::default()
    };
    let value = serde_json::json!({ "pool": POOL, "job": job });
    row(JOB, version, value.to_string().into_bytes())
}

fn cancellation_row(version: u64) -> Row {
    row(&format!("!{JOB}"), version, b"{}".to_vec())
}

fn apply_rows(pool: &mut Pool, rows: &[Row]) {
    apply_rows_but(&SweptJobs::default(), pool, rows);
}

/// Applies rows except those of removed jobs.
fn apply_rows_but(swept: &SweptJobs, pool: &mut Pool, rows: &[Row]) {
    let filter = Filter {
        pool_number: POOL,
        read_as_of: READ_AS_OF,
        swept,
    };
    apply(pool, filter, NOW, UNIX, rows, |_, _| {});
}

/// Number of tasks that the pool starts now.
fn starts(pool: &mut Pool) -> usize {
    let commands = pool.schedule(NOW + 10, UNIX + 10);
    let is_start = |command: &&Command| matches!(command, Command::Start(_));
    commands.iter().filter(is_start).count()
}

/// Guards against a cancelled job that runs: its cancellation is listed before the job, which the owner doesn't know yet.
#[test]
fn a_cancellation_that_is_listed_before_its_job_is_applied() {
    let mut pool = pool();
    apply_rows(&mut pool, &[cancellation_row(12), job_row(11)]);
    assert_eq!(starts(&mut pool), 0);
    let batch = pool.batch(80);
    assert_eq!(batch.rows[0].1.state, State::Cancelled);
}

/// Guards against a job that runs again after its end was shown: a new owner follows the table while it still reads the jobs and
/// their progress, and a row of a job without its progress would count as a job of which nothing has run.
#[test]
fn a_job_that_the_takeover_still_reads_keeps_its_progress() {
    for state in [State::Cancelled, State::Completed] {
        let mut pool = pool();
        pool.set_jobs_incomplete(NOW, true);
        apply_rows(&mut pool, &[job_row(READ_AS_OF)]);
        let ended = Progress {
            state,
            ..Progress::default()
        };
        let progress = ProgressById::from_iter([(JOB.to_owned(), ended)]);
        let page = [job_row(READ_AS_OF)];
        load(&mut pool, POOL, NOW, UNIX, &page, &progress, |_, _| {});
        pool.set_jobs_incomplete(NOW, false);
        assert_eq!(starts(&mut pool), 0, "{state:?}");
        assert_eq!(pool.state(JOB), Some(state));
        assert!(pool.batch(80).rows.is_empty(), "{state:?} is overwritten");
    }
}

/// Guards against a job that is shown as completed while another pool runs it.
#[test]
fn progress_of_a_job_in_another_pool_is_ignored() {
    let mut pool = pool();
    let ended = Progress {
        state: State::Completed,
        ..Progress::default()
    };
    let progress = ProgressById::from_iter([(JOB.to_owned(), ended)]);
    let other = POOL + 1;
    load(
        &mut pool,
        other,
        NOW,
        UNIX,
        &[job_row(READ_AS_OF)],
        &progress,
        |_, _| {},
    );
    assert!(!pool.contains_job(JOB));
}

/// Guards against a job that never runs: it is accepted after the owner has read the table, and the host that accepted it can't
/// reach the owner.
#[test]
fn a_job_accepted_after_the_takeover_is_taken_from_a_snapshot() {
    let mut pool = pool();
    apply_rows(&mut pool, &[job_row(READ_AS_OF + 1)]);
    assert_eq!(starts(&mut pool), 1);
}

/// Guards against a job that runs again long after its end: it was removed after its retention period, and a list of all rows that
/// was read before the deletion of its row arrives, or the deletion failed.
#[test]
fn a_row_of_a_removed_job_is_not_taken_for_a_new_job() {
    let (accepted, deleted) = (READ_AS_OF + 1, READ_AS_OF + 9);
    let mut swept = SweptJobs::default();
    swept.add(vec![JOB.into()]);
    assert_eq!(swept.undeleted(), vec![JOB.into()]);
    let mut pool = pool();
    apply_rows_but(&swept, &mut pool, &[job_row(accepted)]);
    assert!(!pool.contains_job(JOB), "the deletion failed");
    swept.rows_deleted(&[JOB.into()], deleted);
    assert!(swept.undeleted().is_empty());
    swept.forget_until(deleted - 1);
    apply_rows_but(&swept, &mut pool, &[job_row(accepted)]);
    assert!(
        !pool.contains_job(JOB),
        "the list is older than the deletion"
    );
    apply_rows_but(&swept, &mut pool, &[job_row(deleted + 1)]);
    assert!(pool.contains_job(JOB), "a later job has the same id");
}

/// Guards against memory that grows with each job that ever was.
#[test]
fn removed_jobs_are_forgotten_once_no_older_row_can_arrive() {
    let mut swept = SweptJobs::default();
    swept.add(vec![JOB.into()]);
    swept.forget_until(u64::MAX);
    assert!(swept.contains(JOB, 1), "its row is not deleted");
    swept.rows_deleted(&[JOB.into()], 20);
    swept.forget_until(20);
    assert!(!swept.contains(JOB, 1));
}
