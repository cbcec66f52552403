//! Until when leases on workers may last, and what an owner that leaves tells the next one about workers that don't answer.
//!
//! A new owner that can't reach a worker of the former one waits until all leases there have certainly lapsed, counted from its own
//! majority. The former owner knows better: it has asked for these leases, or has waited for those of its predecessors. So it hands
//! over how much of the wait is left, and from then on has nothing to do with these workers: a lease that it gave them later would
//! outlast the wait.

use serde::{Deserialize, Serialize};

use crate::command::Start;
use crate::pool::Pool;
use crate::task::{Ms, WorkerId};
use crate::worker::Worker;

/// Margin for network delay, timers and rounding when the lease of a worker is converted to this process's clock.
const LEASE_MARGIN: Ms = 400;

/// When a lease of this length has certainly lapsed that was requested at `requested_at`. The worker's clock may be 2% slow.
pub(crate) const fn lapse_time(requested_at: Ms, length: Ms) -> Ms {
    requested_at + length + length / 33 + LEASE_MARGIN
}

/// Time after which nothing that an owner or an earlier one has sent to a worker can run there or take effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseBound {
    /// The worker.
    pub worker: WorkerId,
    /// Milliseconds until then.
    pub left: Ms,
}

impl Pool {
    /// Counts the lease that a start command has given to its worker, whose clock showed `clock` in its reply.
    ///
    /// The reply may come from another incarnation than the one that the command was meant for. On its clock the deadline may be further
    /// ahead, and no lease is ever shortened.
    pub fn record_start_lease(&mut self, now: Ms, start: &Start, clock: Ms) {
        self.record_lease(now, &start.worker, start.start_deadline, clock);
    }

    /// Counts the lease that a call with this deadline has given to a worker whose clock shows `clock`.
    pub(crate) fn record_lease(&mut self, now: Ms, id: &WorkerId, deadline: Ms, clock: Ms) {
        let length = self.granted_lease(deadline, clock);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lease_expires_at = worker.lease_expires_at.max(lapse_time(now, length));
        }
    }

    /// Length of the lease that a call with this deadline gives to a worker whose clock shows `clock`.
    pub(crate) fn granted_lease(&self, deadline: Ms, clock: Ms) -> Ms {
        let requested = deadline.saturating_sub(clock);
        requested.min(self.options.longest_lease)
    }

    /// Gives up the workers that don't answer, for the next owner, and returns how long that one has to wait for each; at most `limit`
    /// of them. From now on this owner ignores what they report, so that it gives them neither leases nor commands. Only an owner
    /// that will not own the pool again may call this.
    pub fn release_silent_workers(&mut self, now: Ms, limit: usize) -> Vec<LeaseBound> {
        let inherited = self.unavailable.iter().map(|entry| &entry.worker);
        let unconfirmed = self.unconfirmed_workers.iter().chain(inherited);
        let unconfirmed =
            unconfirmed.filter(|id| !self.workers.get(*id).is_some_and(|it| it.fenced));
        let unconfirmed = unconfirmed.filter_map(|id| Some((id, self.unreported_leases_end(id)?)));
        let silent = self.workers.values().filter(|it| it.is_silent(now));
        let silent = silent.map(|worker| (&worker.id, worker.lease_expires_at));
        let bounds = unconfirmed.chain(silent).map(|(id, end)| LeaseBound {
            worker: id.clone(),
            left: end.saturating_sub(now),
        });
        let bounds: Vec<LeaseBound> = bounds.take(limit).collect();
        let released = bounds.iter().map(|bound| bound.worker.clone());
        self.released_workers.extend(released);
        bounds
    }

    /// Sets the bounds that the former owner handed over, which were received at `received_at`.
    pub fn set_lease_bounds(&mut self, received_at: Ms, bounds: Vec<LeaseBound>) {
        let end = |bound: LeaseBound| (bound.worker, received_at + bound.left);
        self.lease_bounds = bounds.into_iter().map(end).collect();
    }

    /// When all leases of former owners on a worker that hasn't reported have certainly lapsed; `None` if that isn't bounded yet.
    fn unreported_leases_end(&self, id: &WorkerId) -> Option<Ms> {
        let handed_over = self.lease_bounds.get(id).copied();
        handed_over.or_else(|| self.former_leases_end())
    }
}

impl Worker {
    /// Whether the worker has reported to this owner, and not for some time.
    fn is_silent(&self, now: Ms) -> bool {
        let silence = now.saturating_sub(self.last_poll);
        self.fenced && silence >= Self::UNAVAILABLE_AFTER
    }
}
