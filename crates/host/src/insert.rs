//! Idempotent insertion of a job's row while the store may lose calls or answers.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::info;
use pool::{Job, JobId, Ms};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::access::Caller;
use crate::clock;
use crate::interfaces::{Store, StoreError, Transaction};
use crate::rows::{JOBS, JobRow, job_part, job_row_header};

/// Delay before an insert whose outcome is unknown is repeated after a refusal.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Pool of a job and version of its row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLocation {
    /// The pool that the job is in.
    pub pool: u32,
    /// The transaction that wrote the row.
    pub version: u64,
    /// The job was transferred from another pool, so its row holds its progress too.
    pub moved: bool,
}

/// Outcome of an insert.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Inserted {
    /// The row exists, written by this call or an earlier one. An earlier call may have chosen another pool than this one: the
    /// job belongs to the pool that the row names.
    Present(JobLocation),
    /// The row exists, but belongs to a job that the caller may not access.
    IdInUse,
    /// The row does not exist, and this call will not create it.
    Refused,
    /// It is not known whether the row exists.
    Unsure,
}

/// An insert in progress. If it is dropped before it has returned, since its caller has left, that is logged: the store may still
/// carry out the calls that have no answer.
struct OpenInsert {
    job: JobId,
    pool: u32,
    began: Ms,
    /// Number of calls that were sent to the store; 0 again once the insert has returned.
    calls: usize,
}

impl Drop for OpenInsert {
    fn drop(&mut self) {
        if self.calls > 0 {
            info!(
                job = &*self.job, pool = self.pool, calls = self.calls,
                ms = clock::now().saturating_sub(self.began);
                "insert abandoned without an answer of the store"
            );
        }
    }
}

/// Inserts the row of a job into a pool; returns once it is known whether the row exists, or at `until`.
///
/// After a lost answer the store may still carry out the insert seconds later. From then on a refusal of a repeated call proves
/// nothing, and only the row itself settles the outcome. The insert requires the row to be absent, so repeating it is safe: while
/// an answer is outstanding it is sent again after `retry_delay`, then after twice that delay, and so on, and the first answer
/// that shows the row decides. `retry_delay` has to be well above the present latency of the store, or a slow store gets several
/// times the load. `may_exist` is set if an earlier call elsewhere may have written the row.
pub async fn insert(
    store: &dyn Store,
    pool: u32,
    job: &Job,
    until: Instant,
    retry_delay: Duration,
    may_exist: bool,
) -> Inserted {
    let mut open = OpenInsert {
        job: Arc::clone(&job.id),
        pool,
        began: clock::now(),
        calls: 0,
    };
    let sent = &mut open.calls;
    let inserted = insert_until_known(store, pool, job, until, retry_delay, may_exist, sent).await;
    open.calls = 0;
    inserted
}

/// Repeats the insert until its outcome is known; counts the calls in `sent`.
async fn insert_until_known(
    store: &dyn Store,
    pool: u32,
    job: &Job,
    until: Instant,
    retry_delay: Duration,
    mut may_exist: bool,
    sent: &mut usize,
) -> Inserted {
    let row = JobRow {
        pool,
        job,
        moved: None,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return Inserted::Refused;
    };
    let transaction = Transaction {
        part: job_part(&job.id),
        checks: vec![(JOBS.to_owned(), job.id.to_string(), 0)],
        puts: vec![(JOBS.to_owned(), job.id.to_string(), value)],
        ..Transaction::default()
    };
    let mut calls = FuturesUnordered::new();
    let mut next = Instant::now();
    let mut delay = retry_delay;
    loop {
        let now = Instant::now();
        if now >= until {
            return if may_exist || !calls.is_empty() {
                Inserted::Unsure
            } else {
                Inserted::Refused
            };
        }
        if now >= next {
            calls.push(store.commit(&transaction));
            *sent += 1;
            next = now + delay;
            delay *= 2;
        }
        let answer = tokio::select! {
            Some(answer) = calls.next() => answer,
            () = tokio::time::sleep_until(next.min(until)) => continue,
        };
        match answer {
            Ok(version) => {
                return Inserted::Present(JobLocation {
                    pool,
                    version,
                    moved: false,
                });
            }
            Err(StoreError::Conflict { rows }) => {
                let found = rows.iter().find_map(|row| {
                    let header = job_row_header(row.value.as_deref()?)?;
                    if !header.is_accessible_to(&Caller::of_job(job)) {
                        return Some(Inserted::IdInUse);
                    }
                    Some(Inserted::Present(JobLocation {
                        pool: header.pool,
                        version: row.version,
                        moved: header.moved.is_some(),
                    }))
                });
                if let Some(found) = found {
                    return found;
                }
                // The row exists, but the answer doesn't show its pool; the next answer may.
                may_exist = true;
            }
            Err(StoreError::Lost { .. }) => may_exist = true,
            Err(StoreError::Rejected { .. }) => {
                return if may_exist || !calls.is_empty() {
                    Inserted::Unsure
                } else {
                    Inserted::Refused
                };
            }
            Err(StoreError::Refused { .. } | StoreError::HistoryCompacted) => {
                if !may_exist && calls.is_empty() {
                    return Inserted::Refused;
                }
                next = next.max(Instant::now() + REFUSED_RETRY_DELAY);
            }
        }
    }
}
