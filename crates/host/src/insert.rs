//! Idempotent insertion of a job's row while the store may lose calls or answers.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::info;
use pool::{Job, JobId, Ms, Progress, State};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::access::Caller;
use crate::clock;
use crate::interfaces::{Row, Store, StoreError, Transaction};
use crate::rows::{JOBS, JobHistory, JobRow, job_part, job_row_header};
use crate::withdrawal::Withdrawal;

/// Delay before an insert whose outcome is unknown is repeated after a refusal.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Pool of a job and version of its row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLocation {
    /// The pool that the job is in.
    pub pool: u32,
    /// The transaction that wrote the row.
    pub version: u64,
    /// Epoch of the pool's owner as known to the host that wrote the row; 0 if it knew none.
    #[serde(default)]
    pub epoch: u64,
    /// The job came to the pool with progress, which its row holds too: it was transferred from another pool, or cancelled before it
    /// was submitted.
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

/// A transaction that writes the row of a job.
struct RowWrite {
    transaction: Transaction,
    /// Whether the row holds progress too.
    moved: bool,
}

impl RowWrite {
    /// Writes the row if there is none under the id.
    fn new(pool: u32, job: &Job) -> serde_json::Result<Self> {
        Self::with_history(pool, job, 0, None)
    }

    /// Writes the row in place of a withdrawal of the id whose row has this version; if that binds the job, as a cancelled one.
    fn over(
        withdrawal: &Withdrawal,
        version: u64,
        pool: u32,
        job: &Job,
    ) -> serde_json::Result<Self> {
        let cancelled = || JobHistory {
            from: Vec::new(),
            progress: Progress {
                state: State::Cancelled,
                closed: clock::unix(),
                ..Progress::default()
            },
        };
        let history = withdrawal.binds(job).then(cancelled);
        Self::with_history(pool, job, version, history)
    }

    fn with_history(
        pool: u32,
        job: &Job,
        version: u64,
        history: Option<JobHistory>,
    ) -> serde_json::Result<Self> {
        let moved = history.is_some();
        let value = serde_json::to_vec(&JobRow {
            pool,
            job,
            moved: history,
        })?;
        let key = job.id.to_string();
        let transaction = Transaction {
            part: job_part(&job.id),
            checks: vec![(JOBS.to_owned(), key.clone(), version)],
            puts: vec![(JOBS.to_owned(), key, value)],
            ..Transaction::default()
        };
        Ok(Self { transaction, moved })
    }
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
/// times the load. `may_exist` is set if an earlier call elsewhere may have written the row. If the id was withdrawn, the row
/// replaces the withdrawal.
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
    let Ok(mut write) = RowWrite::new(pool, job).map(Arc::new) else {
        return Inserted::Refused;
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
            let write = Arc::clone(&write);
            calls.push(async move {
                let answer = store.commit(&write.transaction).await;
                (answer, write.moved)
            });
            *sent += 1;
            next = now + delay;
            delay *= 2;
        }
        let (answer, moved) = tokio::select! {
            Some(answered) = calls.next() => answered,
            () = tokio::time::sleep_until(next.min(until)) => continue,
        };
        match answer {
            Ok(version) => {
                return Inserted::Present(JobLocation {
                    pool,
                    version,
                    epoch: job.epoch,
                    moved,
                });
            }
            Err(StoreError::Conflict { rows }) => {
                if let Some((withdrawal, version)) = find_withdrawal(&rows) {
                    let Ok(over) = RowWrite::over(&withdrawal, version, pool, job) else {
                        return Inserted::Refused;
                    };
                    info!(job = &*job.id, pool = pool, bound = over.moved; "submitted under a withdrawn id");
                    write = Arc::new(over);
                    next = Instant::now();
                    delay = retry_delay;
                    continue;
                }
                let found = rows.iter().find_map(|row| {
                    let header = job_row_header(row.value.as_deref()?)?;
                    if !header.is_accessible_to(&Caller::of_job(job)) {
                        return Some(Inserted::IdInUse);
                    }
                    Some(Inserted::Present(JobLocation {
                        pool: header.pool,
                        version: row.version,
                        epoch: header.job.epoch,
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

/// The withdrawal among these rows, with the version of its row.
fn find_withdrawal(rows: &[Row]) -> Option<(Withdrawal, u64)> {
    rows.iter()
        .find_map(|row| Some((Withdrawal::parse(row.value.as_deref()?)?, row.version)))
}
