//! Applies rows of the table of jobs, accepted jobs and cancellations, to a pool.

use std::sync::Arc;

use log::warn;
use pool::{Job, Ms, Pool, Progress, State};
use rustc_hash::FxHashMap;

use crate::interfaces::Row;
use crate::rows::{CANCEL_PREFIX, JobAccess, JobRow, job_row_header};
use crate::swept_jobs::SweptJobs;
use crate::withdrawal::Withdrawal;

/// The stored progress of jobs, by id.
pub type ProgressById = FxHashMap<String, Progress>;

/// Adds the jobs of a page that a new owner reads, with their progress, and applies the cancellations. `report` is called for each
/// job that is cancelled by that, with the number of its runs that are to be stopped.
pub fn load(
    pool: &mut Pool,
    pool_number: u32,
    now: Ms,
    unix: u64,
    rows: &[Row],
    progress: &ProgressById,
    mut report: impl FnMut(&str, usize),
) {
    for row in rows {
        if let Some(id) = row.key.strip_prefix(CANCEL_PREFIX) {
            if let Some(runs) = pool.cancel(unix, id) {
                report(id, runs);
            }
            continue;
        }
        let progress = progress.get(&row.key);
        if let Some(completed) = progress.filter(|it| it.state == State::Completed) {
            if let Some(job) = completed_job(row, pool_number) {
                pool.adopt(now, unix, Arc::new(job), Some(completed), true);
            }
        } else if let Some((job, before)) = parse_job(row, pool_number) {
            let progress = progress.or(before.as_ref());
            if let Some(runs) = pool.adopt(now, unix, Arc::new(job), progress, true) {
                report(&row.key, runs);
            }
        }
    }
}

/// The jobs of the table that an owner takes from changes.
#[derive(Clone, Copy, Debug)]
pub struct Filter<'a> {
    /// Number of the owner's pool.
    pub pool_number: u32,
    /// Jobs whose rows are not newer than this transaction are left to [`load`], which has their progress.
    pub read_as_of: u64,
    /// Jobs that the owner has removed.
    pub swept: &'a SweptJobs,
}

impl Filter<'_> {
    fn accepts(&self, row: &Row) -> bool {
        row.version > self.read_as_of && !self.swept.contains(&row.key, row.version)
    }
}

/// Applies rows that changed, or all rows if the store no longer has the changes; returns the jobs that were added. `report` is
/// called for each job that is cancelled by that, with the number of its runs that are to be stopped.
///
/// Jobs come first: a list is in the order of keys, where a cancellation precedes its job.
pub fn apply(
    pool: &mut Pool,
    filter: Filter<'_>,
    now: Ms,
    unix: u64,
    rows: &[Row],
    mut report: impl FnMut(&str, usize),
) -> Vec<Arc<Job>> {
    let mut added = Vec::new();
    let present = rows.iter().filter(|row| row.value.is_some());
    let (cancellations, jobs): (Vec<&Row>, Vec<&Row>) =
        present.partition(|row| row.key.starts_with(CANCEL_PREFIX));
    for row in jobs {
        if !filter.accepts(row) || pool.contains_job(&row.key) {
            continue;
        }
        let Some((job, before)) = parse_job(row, filter.pool_number) else {
            continue;
        };
        let job = Arc::new(job);
        if let Some(runs) = pool.adopt(now, unix, Arc::clone(&job), before.as_ref(), false) {
            report(&row.key, runs);
        }
        added.push(job);
    }
    for row in cancellations {
        if let Some(id) = row.key.strip_prefix(CANCEL_PREFIX)
            && let Some(runs) = pool.cancel(unix, id)
        {
            report(id, runs);
        }
    }
    added
}

/// Decodes a job's row if the job is in this pool: returns the job, and its progress if it came to the pool with any.
fn parse_job(row: &Row, pool_number: u32) -> Option<(Job, Option<Progress>)> {
    let value = row.value.as_deref()?;
    if Withdrawal::is_row(value) {
        return None;
    }
    match serde_json::from_slice::<JobRow<Job>>(value) {
        Ok(found) if found.pool != pool_number => None,
        Ok(found) => Some((found.job, found.moved.map(|moved| moved.progress))),
        Err(error) => {
            warn!(row = row.key.as_str(), error:% = error; "job row can't be decoded");
            None
        }
    }
}

/// A completed job with nothing but its id and who may access it. Nothing of it runs or will run, and callers ask only for its
/// state. Only the header is decoded: most rows that a new owner reads are of completed jobs.
fn completed_job(row: &Row, pool_number: u32) -> Option<Job> {
    let header = job_row_header(row.value.as_deref()?);
    if header.is_none() {
        warn!(row = row.key.as_str(); "job row can't be decoded");
    }
    let header = header.filter(|header| header.pool == pool_number)?;
    let JobAccess {
        queue, customer, ..
    } = header.job;
    Some(Job {
        id: row.key.as_str().into(),
        queue,
        customer,
        ..Job::default()
    })
}
