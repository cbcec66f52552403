//! Stores the progress of a pool's jobs in batches.
//!
//! Every transaction has the owner's claim as a condition, so an owner that was replaced can't write anything. If the answer to
//! a transaction is lost, the store may still execute that transaction later and overwrite newer progress. The next one
//! therefore rewrites the roster, after which the condition of the lost transaction can't hold any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::{Batch, JobId, WorkerId};

use crate::claim::{Claim, ClaimVersion};
use crate::clock;
use crate::host::lock;
use crate::interfaces::{Row, StoreError, Transaction};
use crate::owner::Owner;
use crate::progress_row::ProgressRow;
use crate::rows::{CANCEL_PREFIX, JOBS, PROGRESS, RosterRow, job_part, pool_part};
use crate::transfer::{self, TransferOutcome};

/// Shortest time between two writes of the successors, since hosts often join or leave together.
const SUCCESSORS_WRITE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Maximum number of progress rows in one transaction; the store accepts 100 entries.
const MAX_PROGRESS_ROWS: usize = 80;
/// Progress that no caller waits for is collected for this long.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Delay after a failed transaction.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Delay after a rejected write of the roster alone, and time after which a rejected progress row is written again.
const REJECTED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Minimum time between two attempts to learn the outcome of a transfer.
const DOUBT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between two scans for old jobs whose rows may be deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of jobs that are deleted in one transaction; each has two rows in the table of jobs.
const MAX_SWEPT_JOBS: usize = 30;

/// Stores changes of the pool until the owner is replaced.
pub(crate) async fn run(owner: &Arc<Owner>, mut claim: Claim, claimed: u64) {
    let mut version = ClaimVersion {
        owner: claimed,
        roster: claimed,
    };
    let mut unsure = false;
    let mut swept = tokio::time::Instant::now();
    let mut successors_written = swept;
    let mut resolved = swept;
    let mut old_jobs: Vec<JobId> = Vec::new();
    let mut max_rows = MAX_PROGRESS_ROWS;
    let mut rejected: Vec<(tokio::time::Instant, Batch)> = Vec::new();
    loop {
        drop(tokio::time::timeout(Duration::from_millis(100), owner.dirty.notified()).await);
        if !lock(&owner.pool).urgent() {
            tokio::time::sleep(BATCH_DELAY).await;
        }
        if old_jobs.is_empty() && swept.elapsed() > SWEEP_INTERVAL {
            swept = tokio::time::Instant::now();
            let expired = lock(&owner.pool).remove_expired_jobs(clock::unix());
            lock(&owner.swept_jobs).add(expired);
            old_jobs = delete_job_rows(owner).await;
        }
        if !unsure {
            let jobs = jobs_to_transfer(owner, &mut resolved);
            if transfer::run(owner, version, &jobs).await == TransferOutcome::Unsure {
                unsure = true;
                continue;
            }
        }
        for (_, batch) in
            rejected.extract_if(.., |(since, _)| since.elapsed() > REJECTED_RETRY_DELAY)
        {
            lock(&owner.pool).batch_failed(&batch);
        }
        let (batch, roster, unavailable) = {
            let now = clock::now();
            let mut pool = lock(&owner.pool);
            (
                pool.batch(max_rows),
                pool.roster(now),
                pool.unavailable_workers(now),
            )
        };
        let next_roster = RosterRow::new(
            claim.roster.serial + 1,
            roster.iter().map(ToString::to_string),
            unavailable,
            owner.host().settings.max_row_bytes,
        );
        let same_roster = next_roster.roster == claim.roster.roster;
        let same_unavailable = next_roster.unavailable == claim.roster.unavailable;
        let successors = owner.successors();
        let successors_changed = successors != claim.owner.successors
            && successors_written.elapsed() > SUCCESSORS_WRITE_INTERVAL;
        let roster_changed = !same_roster || !same_unavailable || successors_changed;
        if batch.rows.is_empty() && !roster_changed && !unsure && old_jobs.is_empty() {
            max_rows = max_rows.max(1);
            // There is nothing to store, so workers may forget these ends at once.
            lock(&owner.pool).batch_stored(&batch);
            owner.stored.notify_waiters();
            // An unavailable worker that the roster names may have become reachable again.
            if enroll(owner, &claim) {
                owner.wake.notify_one();
            }
            continue;
        }
        let mut next = claim.clone();
        next.roster = next_roster;
        if successors_changed {
            next.owner.successors = successors;
        }
        let rewrite = roster_changed || unsure;
        let deletes = if batch.rows.is_empty() {
            old_jobs.len().min(MAX_SWEPT_JOBS)
        } else {
            0
        };
        let transaction = transaction(
            owner,
            &batch,
            rewrite.then_some((&next, successors_changed)),
            version,
            &old_jobs[..deletes],
        );
        let sent_at = clock::now();
        let result = owner.host().store.commit(&transaction).await;
        if let Err(StoreError::Refused { .. } | StoreError::Rejected { .. }) = &result {
            lock(&owner.pool).batch_refused(&batch);
            owner.written.notify_waiters();
        }
        match result {
            Ok(done) => {
                if rewrite {
                    version.roster = done;
                    claim = next;
                }
                if successors_changed {
                    version.owner = done;
                    successors_written = tokio::time::Instant::now();
                }
                unsure = false;
                max_rows = (max_rows * 2).clamp(1, MAX_PROGRESS_ROWS);
                old_jobs.drain(..deletes);
                *lock(&owner.store_outage) = None;
                lock(&owner.pool).batch_stored(&batch);
                log_completed_jobs(owner);
                enroll(owner, &claim);
                owner.stored.notify_waiters();
                owner.written.notify_waiters();
                owner.wake.notify_one();
                continue;
            }
            Err(StoreError::Conflict { rows }) => match own_claim(&rows, &claim) {
                Some((found, at)) => {
                    info!(serial = found.roster.serial; "an earlier write of the roster took effect");
                    enroll(owner, &found);
                    claim = found;
                    version = at;
                    unsure = true;
                }
                None => {
                    warn!(epoch = owner.epoch(); "another host owns the pool; ownership ended");
                    owner.ended.cancel();
                    return;
                }
            },
            Err(error @ StoreError::Rejected { .. }) => {
                let rows = batch.rows.len();
                let first = batch.rows.first().map_or("", |(id, _)| &**id);
                warn!(error:% = error, rows = rows, first = first, roster = rewrite; "store rejected the write of progress");
                // The same transaction would be rejected again. A smaller one may be accepted, and halving finds the bad row.
                max_rows = rows / 2;
                if !rewrite && rows == 1 {
                    lock(&owner.pool).batch_rejected(&batch);
                    rejected.push((tokio::time::Instant::now(), batch));
                    max_rows = 1;
                    continue;
                }
                if rows == 0 {
                    tokio::time::sleep(REJECTED_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                warn!(error:% = error, rows = batch.rows.len(); "storing progress failed; retrying");
                unsure |= matches!(error, StoreError::Lost { .. });
                let refused = matches!(error, StoreError::Refused { .. });
                owner.record_store_failure(sent_at, refused);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        lock(&owner.pool).batch_failed(&batch);
        owner.dirty.notify_one();
    }
}

/// Jobs to be transferred to other pools, and those whose earlier transfers have no known outcome yet. `resolved` is the time at
/// which the latter were last returned.
fn jobs_to_transfer(owner: &Owner, resolved: &mut tokio::time::Instant) -> Vec<JobId> {
    let mut pool = lock(&owner.pool);
    let mut jobs = Vec::new();
    if owner.host().pool_map().pool_count() > 1 {
        jobs = pool.unservable_jobs(clock::now());
    }
    if resolved.elapsed() > DOUBT_RETRY_DELAY {
        let in_doubt = pool.transfers_in_doubt();
        if !in_doubt.is_empty() {
            *resolved = tokio::time::Instant::now();
        }
        jobs.extend(in_doubt);
        jobs.sort();
        jobs.dedup();
    }
    jobs
}

/// Deletes the rows of removed jobs; returns the jobs whose rows are deleted. Their progress may be deleted only after that,
/// because a job without progress looks like one that was never started. Rows that could not be deleted are tried again with
/// the next scan.
async fn delete_job_rows(owner: &Owner) -> Vec<JobId> {
    let mut parts: BTreeMap<String, Vec<JobId>> = BTreeMap::new();
    let undeleted = lock(&owner.swept_jobs).undeleted();
    for id in undeleted {
        parts.entry(job_part(&id)).or_default().push(id);
    }
    let mut deleted = Vec::new();
    for (part, ids) in parts {
        for ids in ids.chunks(MAX_SWEPT_JOBS) {
            let rows = ids
                .iter()
                .flat_map(|id| [id.to_string(), format!("{CANCEL_PREFIX}{id}")]);
            let transaction = Transaction {
                part: part.clone(),
                deletes: rows.map(|key| (JOBS.to_owned(), key)).collect(),
                ..Transaction::default()
            };
            match owner.host().store.commit(&transaction).await {
                Ok(version) => {
                    lock(&owner.swept_jobs).rows_deleted(ids, version);
                    deleted.extend_from_slice(ids);
                }
                Err(error) => warn!(error:% = error; "deleting rows of old jobs failed"),
            }
        }
    }
    deleted
}

/// Logs the jobs whose final states have been stored since the last call.
fn log_completed_jobs(owner: &Owner) {
    let unix = clock::unix();
    let jobs = lock(&owner.pool).take_jobs_done();
    for job in jobs {
        info!(
            job = &*job.job, queue = job.queue.as_str(), state:? = job.state, took = job.took,
            objective = job.objective, stored = unix.saturating_sub(job.closed);
            "job"
        );
    }
}

/// Allows the pool to use exactly the workers of the stored claim; returns whether one of them could not be used before.
fn enroll(owner: &Owner, claim: &Claim) -> bool {
    let ids: Vec<WorkerId> = claim
        .roster
        .roster
        .iter()
        .map(|id| id.as_str().into())
        .collect();
    lock(&owner.pool).set_stored_roster(&ids)
}

/// The transaction that stores a batch and the claim, if given with a flag for the owner's row, and deletes the progress of old
/// jobs.
fn transaction(
    owner: &Owner,
    batch: &Batch,
    claim: Option<(&Claim, bool)>,
    version: ClaimVersion,
    old_jobs: &[JobId],
) -> Transaction {
    let mut transaction = Transaction {
        part: pool_part(owner.pool_number()),
        checks: version.checks(),
        ..Transaction::default()
    };
    let max_bytes = owner.host().settings.max_row_bytes;
    for (id, progress) in &batch.rows {
        if let Some(row) = ProgressRow::of_job(id, progress, max_bytes) {
            let put = (PROGRESS.to_owned(), id.to_string(), row.value);
            transaction.puts.push(put);
        }
    }
    if let Some((claim, with_owner)) = claim {
        transaction.puts.extend(claim.put_roster().ok());
        if with_owner {
            transaction.puts.extend(claim.put_owner().ok());
        }
    }
    for id in old_jobs {
        transaction
            .deletes
            .push((PROGRESS.to_owned(), id.to_string()));
    }
    transaction
}

/// The claim among these rows, if this owner wrote it.
fn own_claim(rows: &[Row], own: &Claim) -> Option<(Claim, ClaimVersion)> {
    let (found, version) = Claim::find(rows)?;
    let (other, own) = (&found.owner, &own.owner);
    let same =
        other.host == own.host && other.epoch == own.epoch && other.incarnation == own.incarnation;
    same.then_some((found, version))
}
