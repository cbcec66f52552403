//! When a worker that the directory no longer lists is forgotten.
//!
//! The directory drops workers that live: their entries expire while the store is down, and are back some seconds after its return. So a
//! missing entry only means that nothing is started on the worker. The worker is forgotten once nothing that it has can matter to any
//! task, by [`Worker::is_needed`]; if it doesn't answer, that is when its lease has certainly lapsed.

use std::sync::Arc;

use crate::pool::Pool;
use crate::task::{Ms, WorkerId};
use crate::worker::Worker;

/// A worker was forgotten: the directory doesn't list it any more, and this owner needs nothing that it knew of it.
#[derive(Clone, Debug)]
pub struct ForgottenWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Incarnation that answered last, in Unix milliseconds; 0 if none has.
    pub incarnation: u64,
    /// Number of reported ends of unknown jobs.
    pub unknown_ends: usize,
    /// Number of ends that were applied and aren't stored.
    pub unstored_ends: u64,
    /// Time until its lease has certainly lapsed, in milliseconds; 0 if it has.
    pub lease_left: Ms,
}

impl ForgottenWorker {
    fn new(now: Ms, worker: &Worker) -> Self {
        let unknown = worker.unknown_ends.as_ref();
        Self {
            worker: Arc::clone(&worker.id),
            incarnation: worker.incarnation,
            unknown_ends: unknown.map_or(0, |unknown| unknown.jobs.len()),
            unstored_ends: worker.ends_applied.saturating_sub(worker.ends_stored),
            lease_left: worker.lease_expires_at.saturating_sub(now),
        }
    }
}

impl Pool {
    /// Forgets the workers that the directory doesn't list and that nothing needs any more.
    pub(crate) fn forget_workers(&mut self, now: Ms) {
        let unconfirmed = &self.unconfirmed_workers;
        let unavailable = &self.unavailable;
        // The wait of these jobs ends with the next report of the worker or with its lease.
        let awaited = &self.jobs_awaiting_worker;
        let partly_read = &self.partly_read_workers;
        let forgotten = &mut self.forgotten_workers;
        self.workers.retain(|id, worker| {
            let needed = worker.registered
                || unconfirmed.contains(id)
                || awaited.contains_key(id)
                || partly_read.contains_key(id)
                || unavailable.iter().any(|other| other.worker == *id)
                || worker.is_needed(now);
            if !needed {
                forgotten.push(ForgottenWorker::new(now, worker));
            }
            needed
        });
    }

    /// Returns and clears the workers that were forgotten since the last call.
    pub fn take_forgotten_workers(&mut self) -> Vec<ForgottenWorker> {
        std::mem::take(&mut self.forgotten_workers)
    }
}
