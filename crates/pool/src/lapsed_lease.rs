//! Leases that have lapsed without a report of their workers, for the log.

use std::sync::Arc;

use crate::pool::Pool;
use crate::task::{Ms, WorkerId};

/// What the end of a lease is reckoned from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseBasis {
    /// The calls of this owner, or a report of the worker to it.
    Calls,
    /// The time that the former owner has handed over.
    HandedOver,
    /// The time until which a former owner could have renewed leases.
    FormerOwner,
}

impl LeaseBasis {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calls => "calls",
            Self::HandedOver => "handed_over",
            Self::FormerOwner => "former_owner",
        }
    }
}

/// The lease of a worker counts as over without a report of the worker: what it may have been running starts elsewhere.
#[derive(Clone, Debug)]
pub struct LapsedLease {
    /// The worker.
    pub worker: WorkerId,
    /// Incarnation that answered last, in Unix milliseconds; 0 if unknown.
    pub incarnation: u64,
    /// What the end of the lease was reckoned from.
    pub basis: LeaseBasis,
    /// Time since the latest poll that was answered, in milliseconds; `None` if none was under this owner.
    pub silence: Option<Ms>,
    /// Number of runs that the worker had, as far as this owner knows.
    pub runs: usize,
}

impl Pool {
    /// Returns and clears the leases that have lapsed since the last call.
    pub fn take_lapsed_leases(&mut self) -> Vec<LapsedLease> {
        std::mem::take(&mut self.lapsed_leases)
    }

    /// Records for the log that the lease of a worker counts as over.
    pub(crate) fn record_lapsed_lease(&mut self, now: Ms, id: &WorkerId, basis: LeaseBasis) {
        let worker = self.workers.get(id);
        let reported = worker.filter(|it| it.has_reported());
        self.lapsed_leases.push(LapsedLease {
            worker: Arc::clone(id),
            incarnation: worker.map_or(0, |it| it.incarnation),
            basis,
            silence: reported.map(|it| now.saturating_sub(it.last_poll)),
            runs: worker.map_or(0, |it| it.runs.len()),
        });
    }
}
