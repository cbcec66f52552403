//! Storing progress in groups.
//!
//! Every transaction has the owner's claim as a condition, so nothing of an owner that was replaced is written. A lost
//! answer leaves a transaction that may be carried out later, over newer progress: the next one rewrites the roster,
//! after which the condition of the lost one can't hold any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::{Batch, WorkerId};

use crate::claim::{Claim, ClaimVersion};
use crate::clock;
use crate::host::lock;
use crate::interfaces::{Row, StoreError, Transaction};
use crate::owner::Owner;
use crate::rows::{CANCEL_PREFIX, JOBS, PROGRESS, RosterRow, job_part, pool_part};
use crate::transfer::{self, TransferOutcome};

/// Heirs are stored with whatever else changes, or after this: hosts come and go together.
const HEIRS_PACE: Duration = Duration::from_millis(1_500);
/// Most rows of progress in one transaction; the store takes 100 entries.
const ROWS_MOST: usize = 80;
/// Progress that nobody waits for is collected for this long.
const COLLECT: Duration = Duration::from_millis(25);
/// Pause after a transaction that failed.
const PAUSE: Duration = Duration::from_millis(60);
/// Pause after a rejected write of the roster alone, and time for which a rejected row of progress is held back.
const REJECTED_PAUSE: Duration = Duration::from_secs(2);
/// Time between two looks for jobs that may be forgotten.
const SWEEP: Duration = Duration::from_secs(5);
/// Most jobs that are forgotten in one transaction: two rows each in the table of jobs.
const SWEEP_MOST: usize = 30;

/// Stores what the pool wants stored, until the owner is replaced.
pub(crate) async fn run(owner: &Arc<Owner>, mut claim: Claim, taken: u64) {
    let mut version = ClaimVersion {
        owner: taken,
        roster: taken,
    };
    let mut unsure = false;
    let mut swept = tokio::time::Instant::now();
    let mut renamed = swept;
    let mut old: Vec<pool::JobId> = Vec::new();
    let mut rows_most = ROWS_MOST;
    let mut held: Vec<(tokio::time::Instant, Batch)> = Vec::new();
    loop {
        drop(tokio::time::timeout(Duration::from_millis(100), owner.dirty.notified()).await);
        if !lock(&owner.pool).urgent() {
            tokio::time::sleep(COLLECT).await;
        }
        if old.is_empty() && swept.elapsed() > SWEEP {
            swept = tokio::time::Instant::now();
            old = lock(&owner.pool).remove_expired_jobs(clock::unix());
            old = forget(owner, &old).await;
        }
        if !unsure && owner.host().pool_map().pool_count() > 1 {
            let misfits = lock(&owner.pool).unservable_jobs(clock::now());
            if transfer::run(owner, version, &misfits).await == TransferOutcome::Unsure {
                unsure = true;
                continue;
            }
        }
        for (_, batch) in held.extract_if(.., |(since, _)| since.elapsed() > REJECTED_PAUSE) {
            lock(&owner.pool).batch_failed(&batch);
        }
        let (mut batch, roster, silent) = {
            let now = clock::now();
            let mut pool = lock(&owner.pool);
            (
                pool.batch(rows_most),
                pool.roster(now),
                pool.unavailable_workers(now),
            )
        };
        if !held.is_empty() {
            // Workers may forget an end only when the progress with it is stored.
            batch.ends.clear();
        }
        let next_roster = RosterRow::new(
            claim.roster.serial + 1,
            roster.iter().map(ToString::to_string),
            silent,
            owner.host().settings.max_row_bytes,
        );
        let same_roster = next_roster.roster == claim.roster.roster;
        let same_silent = next_roster.unavailable == claim.roster.unavailable;
        let heirs = owner.heirs();
        let new_heirs = heirs != claim.owner.successors && renamed.elapsed() > HEIRS_PACE;
        let roster_changed = !same_roster || !same_silent || new_heirs;
        if batch.rows.is_empty() && !roster_changed && !unsure && old.is_empty() {
            rows_most = rows_most.max(1);
            // Ends that change nothing may be forgotten at once.
            lock(&owner.pool).batch_stored(&batch);
            owner.stored.notify_waiters();
            // A silent worker that the roster names may be heard again.
            if enroll(owner, &claim) {
                owner.wake.notify_one();
            }
            continue;
        }
        let mut next = claim.clone();
        next.roster = next_roster;
        if new_heirs {
            next.owner.successors = heirs;
        }
        let rewrite = roster_changed || unsure;
        let deletes = if batch.rows.is_empty() {
            old.len().min(SWEEP_MOST)
        } else {
            0
        };
        let transaction = transaction(
            owner,
            &batch,
            rewrite.then_some((&next, new_heirs)),
            version,
            &old[..deletes],
        );
        let asked = clock::now();
        match owner.host().store.commit(&transaction).await {
            Ok(done) => {
                if rewrite {
                    version.roster = done;
                    claim = next;
                }
                if new_heirs {
                    version.owner = done;
                    renamed = tokio::time::Instant::now();
                }
                unsure = false;
                rows_most = (rows_most * 2).clamp(1, ROWS_MOST);
                old.drain(..deletes);
                *lock(&owner.unserved) = None;
                lock(&owner.pool).batch_stored(&batch);
                tell_jobs(owner);
                enroll(owner, &claim);
                owner.stored.notify_waiters();
                owner.wake.notify_one();
                continue;
            }
            Err(StoreError::Conflict { rows }) => match own_claim(&rows, &claim) {
                Some((found, at)) => {
                    info!(serial = found.roster.serial; "an earlier write of the owner's row came through");
                    enroll(owner, &found);
                    claim = found;
                    version = at;
                    unsure = true;
                }
                None => {
                    warn!(epoch = owner.epoch(); "another host owns the pool");
                    owner.over.cancel();
                    return;
                }
            },
            Err(error @ StoreError::Rejected { .. }) => {
                let rows = batch.rows.len();
                warn!(error:% = error, rows = rows, roster = rewrite; "progress is rejected");
                // The same again would be rejected again: less of it may be taken, and shows which row it is.
                rows_most = rows / 2;
                if !rewrite && rows == 1 {
                    held.push((tokio::time::Instant::now(), batch));
                    rows_most = 1;
                    continue;
                }
                if rows == 0 {
                    tokio::time::sleep(REJECTED_PAUSE).await;
                }
            }
            Err(error) => {
                warn!(error:% = error, rows = batch.rows.len(); "progress is not stored yet");
                unsure |= matches!(error, StoreError::Lost { .. });
                let refused = matches!(error, StoreError::Refused { .. });
                owner.note_unserved(asked, refused);
                tokio::time::sleep(PAUSE).await;
            }
        }
        lock(&owner.pool).batch_failed(&batch);
        owner.dirty.notify_one();
    }
}

/// Deletes the rows of jobs that were over long ago; tells which are gone. Their progress may go only after that: a job
/// without progress would look like one that was never started. What stays is found again by the next owner.
async fn forget(owner: &Owner, old: &[pool::JobId]) -> Vec<pool::JobId> {
    let mut parts: BTreeMap<String, Vec<&pool::JobId>> = BTreeMap::new();
    for id in old {
        parts.entry(job_part(id)).or_default().push(id);
    }
    let mut gone = Vec::new();
    for (part, ids) in parts {
        for ids in ids.chunks(SWEEP_MOST) {
            let rows = ids
                .iter()
                .flat_map(|id| [id.to_string(), format!("{CANCEL_PREFIX}{id}")]);
            let transaction = Transaction {
                part: part.clone(),
                deletes: rows.map(|key| (JOBS.to_owned(), key)).collect(),
                ..Transaction::default()
            };
            match owner.host().store.commit(&transaction).await {
                Ok(_) => gone.extend(ids.iter().map(|id| Arc::clone(id))),
                Err(error) => warn!(error:% = error; "rows of old jobs are not deleted"),
            }
        }
    }
    gone
}

/// Logs the courses of jobs whose final states are stored.
fn tell_jobs(owner: &Owner) {
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

/// Makes workers usable as the stored claim allows; tells whether one is that wasn't.
fn enroll(owner: &Owner, claim: &Claim) -> bool {
    let ids: Vec<WorkerId> = claim
        .roster
        .roster
        .iter()
        .map(|id| id.as_str().into())
        .collect();
    lock(&owner.pool).set_stored_roster(&ids)
}

fn transaction(
    owner: &Owner,
    batch: &Batch,
    claim: Option<(&Claim, bool)>,
    version: ClaimVersion,
    old: &[pool::JobId],
) -> Transaction {
    let mut transaction = Transaction {
        part: pool_part(owner.pool_number()),
        checks: version.checks(),
        ..Transaction::default()
    };
    for (id, progress) in &batch.rows {
        if let Ok(value) = serde_json::to_vec(progress) {
            let put = (PROGRESS.to_owned(), id.to_string(), value);
            transaction.puts.push(put);
        }
    }
    if let Some((claim, with_owner)) = claim {
        transaction.puts.extend(claim.put_roster().ok());
        if with_owner {
            transaction.puts.extend(claim.put_owner().ok());
        }
    }
    for id in old {
        transaction
            .deletes
            .push((PROGRESS.to_owned(), id.to_string()));
    }
    transaction
}

/// The claim among these rows, if it is this owner's.
fn own_claim(rows: &[Row], mine: &Claim) -> Option<(Claim, ClaimVersion)> {
    let (found, version) = Claim::find(rows)?;
    let (other, mine) = (&found.owner, &mine.owner);
    let same = other.host == mine.host
        && other.epoch == mine.epoch
        && other.incarnation == mine.incarnation;
    same.then_some((found, version))
}
