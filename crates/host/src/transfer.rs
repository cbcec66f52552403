//! Transfer of a job to another pool, when its own pool can't serve it any more.
//!
//! A single transaction over the part of the pool and that of the job writes the new pool and the job's progress into the job's
//! row, and deletes the progress in the old pool. Its conditions are the owner's claim, so that an owner that was replaced can't
//! transfer a job that its successor runs; the version of the job's row that was read; and that the job has not been cancelled.
//! The writer makes the transfer between two other transactions, so no other write of this owner is in flight.
//!
//! After a lost answer it is not known which pool the job is in. The writer then rewrites the roster, after which the lost
//! transaction can't take effect any more, and reads the job's row. Until then no task of the job runs, nothing about the job is
//! stored in this pool, and calls about the job are answered from its row and by the owner of its next pool.

use std::sync::Arc;

use log::{info, warn};
use pool::JobId;

use crate::claim::ClaimVersion;
use crate::host::lock;
use crate::interfaces::{Row, StoreError, Transaction};
use crate::owner::Owner;
use crate::route;
use crate::rows::{
    CANCEL_PREFIX, JOBS, JobHistory, JobRow, PROGRESS, job_part, job_row_header, pool_part,
};
use crate::withdrawal::Withdrawal;

/// Outcome of the transfer of several jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TransferOutcome {
    /// No transaction is in flight.
    Settled,
    /// The answer to a transaction was lost, and it may still take effect.
    Unsure,
}

/// Transfers jobs that the pool can't serve to other pools, each to one that it has not been in.
pub(crate) async fn run(owner: &Owner, version: ClaimVersion, jobs: &[JobId]) -> TransferOutcome {
    for id in jobs {
        match transfer(owner, version, id).await {
            Ok(()) => {}
            Err(error @ StoreError::Lost { .. }) => {
                warn!(job = &**id, error:% = error; "outcome of a job transfer unknown");
                return TransferOutcome::Unsure;
            }
            Err(error) => warn!(job = &**id, error:% = error; "job transfer failed"),
        }
    }
    TransferOutcome::Settled
}

async fn transfer(owner: &Owner, version: ClaimVersion, id: &JobId) -> Result<(), StoreError> {
    let host = owner.host();
    let part = job_part(id);
    let in_doubt = lock(&owner.pool).is_transfer_in_doubt(id);
    let Ok(row) = host.read_current(JOBS, &part, id).await else {
        // The next pass tries again.
        return Ok(());
    };
    let is_withdrawal = |row: &Row| row.value.as_deref().is_some_and(Withdrawal::is_row);
    let Some(row) = row.filter(|row| !is_withdrawal(row)) else {
        if in_doubt {
            // Only the next pool can have deleted the row, long after it finished the job.
            lock(&owner.pool).remove_transferred(id);
        }
        return Ok(());
    };
    let Some(header) = row.value.as_deref().and_then(job_row_header) else {
        warn!(job = &**id, in_doubt = in_doubt; "row of a job to be transferred can't be decoded");
        if !in_doubt {
            lock(&owner.pool).cancel_transfer(id);
        }
        return Ok(());
    };
    if header.pool != owner.pool_number() {
        info!(job = &**id, from = owner.pool_number(), to = header.pool; "an earlier write transferred the job");
        lock(&owner.pool).remove_transferred(id);
        return Ok(());
    }
    let mut from = header.moved.map_or_else(Vec::new, |moved| moved.from);
    from.push(owner.pool_number());
    let begun = lock(&owner.pool).begin_transfer(id);
    let Some((job, progress)) = begun else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    let Some(to) = route::next_pool(&host.pool_map(), &job, &from, &host.pool_loads()) else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    let next = JobRow {
        pool: to,
        // Epochs of different pools are not comparable.
        job: pool::Job {
            epoch: 0,
            ..(*job).clone()
        },
        moved: Some(JobHistory { from, progress }),
    };
    let Ok(value) = serde_json::to_vec(&next) else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    let transaction = Transaction {
        part: pool_part(owner.pool_number()),
        checks: version.checks(),
        deletes: vec![(PROGRESS.to_owned(), id.to_string())],
        other_parts: vec![Transaction {
            part,
            checks: vec![
                (JOBS.to_owned(), id.to_string(), row.version),
                (JOBS.to_owned(), format!("{CANCEL_PREFIX}{id}"), 0),
            ],
            puts: vec![(JOBS.to_owned(), id.to_string(), value)],
            ..Transaction::default()
        }],
        ..Transaction::default()
    };
    if let Err(error) = host.store.commit(&transaction).await {
        let mut pool = lock(&owner.pool);
        match error {
            StoreError::Lost { .. } => {}
            StoreError::Rejected { .. } => pool.cancel_transfer(id),
            _ => pool.transfer_failed(id),
        }
        drop(pool);
        return Err(error);
    }
    info!(job = &**id, from = owner.pool_number(), to = to, epoch = owner.epoch(); "job transferred to another pool");
    lock(&owner.pool).remove_transferred(&Arc::clone(id));
    Ok(())
}
