//! Handing a job to another pool, when its own can't serve it any more.
//!
//! One transaction does it, over the part of the pool and that of the job: the job's row names the new pool and holds how
//! far the job had come, and the pool's progress of it is deleted. Its conditions are the owner's claim, so that an owner
//! which was replaced can't give away what its successor runs; the job's row as it was read; and that the caller has not
//! taken the job back. The writer does it between two other transactions, so nothing else of this owner is under way.
//!
//! A lost answer leaves it open whether the job is here. The writer then rewrites the roster, after which the lost one can't
//! take effect any more, and the job's row tells. Until then nothing of the job runs.

use std::sync::Arc;

use log::{info, warn};
use pool::JobId;

use crate::claim::Version;
use crate::host::lock;
use crate::outside::{StoreError, Transaction};
use crate::owner::Owner;
use crate::route;
use crate::rows::{CANCEL, JOBS, JobRow, Moved, PROGRESS, job_part, place_of, pool_part};

/// What became of the jobs that should go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// All is known.
    Settled,
    /// A transaction may take effect yet.
    Unsure,
}

/// Hands jobs that the pool can't serve to other pools, each to one that it hasn't been in.
pub(crate) async fn run(owner: &Owner, version: Version, jobs: &[JobId]) -> Outcome {
    for id in jobs {
        match hand_on(owner, version, id).await {
            Ok(()) => {}
            Err(StoreError::Lost { .. }) => return Outcome::Unsure,
            Err(error) => warn!(job = &**id, error:% = error; "a job is not handed on yet"),
        }
    }
    Outcome::Settled
}

async fn hand_on(owner: &Owner, version: Version, id: &JobId) -> Result<(), StoreError> {
    let host = owner.host();
    let part = job_part(id);
    let row = host.present(JOBS, &part, id).await;
    let Ok(Some(row)) = row else {
        // Not known now, or swept: the next look decides.
        return Ok(());
    };
    let Some(place) = row.value.as_deref().and_then(place_of) else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    if place.pool != owner.number() {
        info!(job = &**id, from = owner.number(), to = place.pool; "an earlier write handed the job on");
        lock(&owner.pool).remove_transferred(id);
        return Ok(());
    }
    let mut from = place.moved.map_or_else(Vec::new, |moved| moved.from);
    from.push(owner.number());
    let course = lock(&owner.pool).transferable(id);
    let Some((job, progress)) = course else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    let Some(to) = route::next(&host.plan(), &job, &from, &host.loads()) else {
        lock(&owner.pool).cancel_transfer(id);
        return Ok(());
    };
    let next = JobRow {
        pool: to,
        // Epochs of different pools have nothing to do with each other.
        job: pool::Job {
            epoch: 0,
            ..(*job).clone()
        },
        moved: Some(Moved { from, progress }),
    };
    let Ok(value) = serde_json::to_vec(&next) else {
        return Ok(());
    };
    let transaction = Transaction {
        part: pool_part(owner.number()),
        checks: version.checks(),
        deletes: vec![(PROGRESS.to_owned(), id.to_string())],
        also: vec![Transaction {
            part,
            checks: vec![
                (JOBS.to_owned(), id.to_string(), row.version),
                (JOBS.to_owned(), format!("{CANCEL}{id}"), 0),
            ],
            puts: vec![(JOBS.to_owned(), id.to_string(), value)],
            ..Transaction::default()
        }],
        ..Transaction::default()
    };
    if let Err(error) = host.store.commit(&transaction).await {
        if matches!(error, StoreError::Rejected { .. }) {
            lock(&owner.pool).cancel_transfer(id);
        }
        return Err(error);
    }
    info!(job = &**id, from = owner.number(), to = to, epoch = owner.epoch(); "handed the job on");
    lock(&owner.pool).remove_transferred(&Arc::clone(id));
    Ok(())
}
