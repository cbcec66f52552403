//! Cancellations of jobs by their callers.
//!
//! The owner of the job's pool stores the job's final state. If no owner confirms that in time, the host writes a row for the
//! cancellation, which the owners follow. If no job has the id, the host withdraws the id before it says so: an insert of the job may
//! have been sent and not carried out yet.

use std::time::Duration;

use log::info;
use pool::State;
use tokio::time::Instant;

use crate::access::Caller;
use crate::clock;
use crate::host::Host;
use crate::interfaces::{StoreError, Transaction};
use crate::requests::JobStatus;
use crate::route;
use crate::rows::{CANCEL_PREFIX, JOBS, JobRowHeader, job_part, job_row_header};
use crate::wire::{Call, Reply};
use crate::withdrawal::Withdrawal;

/// Timeout of a request to cancel. An owner waits 1.5 s until the cancellation is stored; the rest is for the network.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Pause between attempts to write the row of a cancellation.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What the answer to a cancellation is based on.
#[derive(Clone, Copy, Debug)]
enum Evidence {
    /// The owner of this pool answered.
    Owner(u32),
    /// The job's row or progress in the store; this pool has the job, if any has.
    Store(Option<u32>),
    /// No job has the id, and the store precludes that one that was sent before gets it.
    Withdrawal,
    /// The row of the cancellation was sent to the store; this pool had the job.
    Row(u32),
}

impl Evidence {
    /// Short name for logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Owner(_) => "owner",
            Self::Store(_) => "store",
            Self::Withdrawal => "withdrawal",
            Self::Row(_) => "row",
        }
    }

    /// The pool that has the job; -1 if none is known.
    fn pool(self) -> i64 {
        match self {
            Self::Owner(pool) | Self::Row(pool) | Self::Store(Some(pool)) => i64::from(pool),
            Self::Store(None) | Self::Withdrawal => -1,
        }
    }
}

impl Host {
    /// Cancels a job. When this returns [`State::Cancelled`], the cancellation is stored.
    pub async fn cancel(&self, id: &str, caller: &Caller, until: Instant) -> JobStatus {
        let began = clock::now();
        let (status, evidence) = self.try_cancel(id, caller, until).await;
        let outcome = match status {
            JobStatus::Known(State::Cancelled) => "cancelled",
            JobStatus::Known(_) => "already_over",
            JobStatus::NotFound => "not_found",
            JobStatus::Unsure => "unsure",
        };
        metrics::counter!("lentilyoke_cancels_total", "outcome" => outcome, "evidence" => evidence.name())
            .increment(1);
        info!(
            job = id, outcome = outcome, evidence = evidence.name(), pool = evidence.pool(),
            ms = clock::now().saturating_sub(began);
            "cancel"
        );
        status
    }

    async fn try_cancel(&self, id: &str, caller: &Caller, until: Instant) -> (JobStatus, Evidence) {
        let candidates = route::candidates(&self.pool_map(), id);
        for &pool in &candidates {
            if let Some(status) = self.cancel_by_owner(pool, id, caller, until).await {
                return (status, Evidence::Owner(pool));
            }
        }
        let withdrawal = Withdrawal {
            pool: candidates.first().copied().unwrap_or_default(),
            ..Withdrawal::default()
        };
        let header = match self.withdraw(id, withdrawal, caller, until).await {
            Ok(header) => header,
            Err(JobStatus::NotFound) => return (JobStatus::NotFound, Evidence::Withdrawal),
            Err(status) => return (status, Evidence::Store(None)),
        };
        let pool = header.pool;
        if !candidates.contains(&pool)
            && let Some(status) = self.cancel_by_owner(pool, id, caller, until).await
        {
            return (status, Evidence::Owner(pool));
        }
        match self.stored_state(&header, id).await {
            JobStatus::Known(state) if !state.is_final() => {}
            other => return (other, Evidence::Store(Some(pool))),
        }
        let status = self.write_cancellation(id, until).await;
        (status, Evidence::Row(pool))
    }

    /// Withdraws an id that no job has; returns the header of the job's row if there is one that the caller may access.
    ///
    /// # Errors
    /// What the caller is told if there is no such job, or the store gives no answer.
    async fn withdraw(
        &self,
        id: &str,
        mut withdrawal: Withdrawal,
        caller: &Caller,
        until: Instant,
    ) -> Result<JobRowHeader, JobStatus> {
        let mut version = 0;
        withdrawal.add(caller);
        loop {
            let transaction = withdrawal.write(id, version);
            let transaction = transaction.map_err(|_| JobStatus::Unsure)?;
            let rows = match self.store.commit(&transaction).await {
                Ok(_) => return Err(JobStatus::NotFound),
                Err(StoreError::Conflict { rows }) => rows,
                Err(_) => return Err(JobStatus::Unsure),
            };
            let present = rows.into_iter().find(|row| row.key == id);
            let present = present.and_then(|row| Some((row.value?, row.version)));
            // A row that was there before may have been deleted meanwhile.
            version = present.as_ref().map_or(0, |(_, version)| *version);
            if let Some((value, _)) = present {
                let Some(present) = Withdrawal::parse(&value) else {
                    let header = job_row_header(&value).ok_or(JobStatus::Unsure)?;
                    return self.check_access(header, id, caller);
                };
                withdrawal = present;
                if !withdrawal.add(caller) {
                    return Err(JobStatus::NotFound);
                }
            }
            if Instant::now() >= until {
                return Err(JobStatus::Unsure);
            }
        }
    }

    /// Writes the row of a cancellation.
    async fn write_cancellation(&self, id: &str, until: Instant) -> JobStatus {
        let transaction = Transaction {
            part: job_part(id),
            puts: vec![(
                JOBS.to_owned(),
                format!("{CANCEL_PREFIX}{id}"),
                b"{}".to_vec(),
            )],
            ..Transaction::default()
        };
        loop {
            match self.store.commit(&transaction).await {
                Ok(_) => return JobStatus::Known(State::Cancelled),
                Err(StoreError::Conflict { .. } | StoreError::Rejected { .. }) => {
                    return JobStatus::Unsure;
                }
                Err(_) if Instant::now() >= until => return JobStatus::Unsure,
                Err(_) => tokio::time::sleep(WRITE_RETRY_DELAY).await,
            }
        }
    }

    /// Has the owner of a pool cancel a job; `None` if the owner doesn't know the job or the cancellation may not be stored.
    async fn cancel_by_owner(
        &self,
        pool: u32,
        id: &str,
        caller: &Caller,
        until: Instant,
    ) -> Option<JobStatus> {
        let left = until.saturating_duration_since(Instant::now());
        let call = Call::Cancel(id.to_owned(), caller.clone());
        match self
            .call_owner(pool, call, left.min(CANCEL_TIMEOUT))
            .await?
        {
            Reply::Cancelled => Some(JobStatus::Known(State::Cancelled)),
            Reply::Inaccessible => Some(self.deny_access(id, caller)),
            _ => None,
        }
    }
}
