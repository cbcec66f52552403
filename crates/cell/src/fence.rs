//! The proof that an owner still owns its rack, and the delay before a new owner may act.
//!
//! Two owners of one rack must never both start work on the same key. The table hands out
//! increasing epochs, and each worker obeys the highest epoch that has adopted it. This does not
//! cover the workers that a new owner can't reach: an old owner that still reaches them would
//! continue to start work there. Therefore
//!
//! * an owner acts only while a **majority** of the rack's workers has acknowledged its epoch
//!   within the last [`AUTHORITY_VALIDITY`], counted from when it sent the call ([`Authority`]);
//! * a new owner acts at once if it has fenced every worker; otherwise it fences a majority and
//!   then waits until the old owner's proof and the last run started under it have expired
//!   ([`Takeover`]).
//!
//! Any two majorities share a worker, so the old owner can't renew its proof after the new owner
//! has fenced a majority. The table is needed only to change owners, so an outage of the table
//! stops no owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use resource::id;

use crate::Now;

/// How long an owner may act after a majority has acknowledged its epoch.
pub const AUTHORITY_VALIDITY: Duration = Duration::from_millis(2_000);

/// Allowance for the drift between the clocks of two hosts over [`Takeover::MAX_DELAY`].
const DRIFT_ALLOWANCE: Duration = Duration::from_millis(100);

/// The workers whose acknowledgements count towards the majority of a rack.
pub type Roster = BTreeSet<id::Worker>;

/// The smallest number of workers that is more than half of `n`.
#[must_use]
pub const fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// An owner's proof that it still owns its rack.
///
/// ```
/// use cell::fence::{AUTHORITY_VALIDITY, Authority};
/// use std::time::Duration;
///
/// let workers = ["w0", "w1", "w2"].map(String::from);
/// let mut proof = Authority::new(workers.into_iter().collect());
/// let ms = Duration::from_millis;
/// proof.acknowledge("w0", ms(100));
/// assert_eq!(proof.valid_until(), None);
/// proof.acknowledge("w2", ms(300));
/// assert_eq!(proof.valid_until(), Some(ms(100) + AUTHORITY_VALIDITY));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Authority {
    roster: Roster,
    acknowledged: BTreeMap<id::Worker, Now>,
}

impl Authority {
    /// A proof over this roster, without any acknowledgement yet.
    #[must_use]
    pub const fn new(roster: Roster) -> Self {
        Self {
            roster,
            acknowledged: BTreeMap::new(),
        }
    }

    /// The workers whose acknowledgements count.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Records that a worker has acknowledged the epoch in reply to a call made at `sent`.
    pub fn acknowledge(&mut self, worker: &str, sent: Now) {
        if !self.roster.contains(worker) {
            return;
        }
        let latest = self.acknowledged.entry(worker.to_owned()).or_default();
        *latest = sent.max(*latest);
    }

    /// Drops the acknowledgement of a worker that has lost its state.
    pub fn revoke(&mut self, worker: &str) {
        self.acknowledged.remove(worker);
    }

    /// The time until which the owner may act; `None` if no majority has acknowledged its epoch.
    #[must_use]
    pub fn valid_until(&self) -> Option<Now> {
        let mut acknowledged: Vec<Now> = self.acknowledged.values().copied().collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        let nth = acknowledged.get(majority(self.roster.len()) - 1)?;
        Some(*nth + AUTHORITY_VALIDITY)
    }

    /// Whether the owner may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Now) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }
}

/// Progress of a new owner towards its first action.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeover {
    rosters: Vec<Roster>,
    fenced: BTreeSet<id::Worker>,
    majority_at: Option<Now>,
}

impl Takeover {
    /// Delay between fencing a majority and the first action. After it the old owner's proof has
    /// expired, and so has every run that it started on a worker that was not fenced.
    pub const MAX_DELAY: Duration = AUTHORITY_VALIDITY
        .saturating_add(config::MAX_RUN)
        .saturating_add(DRIFT_ALLOWANCE);

    /// A takeover from owners that may have acted under any of these rosters.
    #[must_use]
    pub const fn new(rosters: Vec<Roster>) -> Self {
        Self {
            rosters,
            fenced: BTreeSet::new(),
            majority_at: None,
        }
    }

    /// Records that a worker obeys the new epoch or no longer exists.
    pub fn fence(&mut self, worker: &str, now: Now) {
        self.fenced.insert(worker.to_owned());
        let enough = |r: &Roster| r.is_empty() || self.fenced_count(r) >= majority(r.len());
        if self.majority_at.is_none() && self.rosters.iter().all(enough) {
            self.majority_at = Some(now);
        }
    }

    /// Whether a worker is known to obey the new epoch, or to exist no longer.
    #[must_use]
    pub fn has_fenced(&self, worker: &str) -> bool {
        self.fenced.contains(worker)
    }

    /// Whether the new owner may act at `now`.
    #[must_use]
    pub fn ready(&self, now: Now) -> bool {
        let all = self.rosters.iter().all(|r| self.fenced_count(r) == r.len());
        all || self
            .majority_at
            .is_some_and(|at| now >= at + Self::MAX_DELAY)
    }

    /// Whether the new owner has seen every task that can still be running: either every worker was
    /// fenced, or the old owner's last heartbeat has expired, and with it every task lease that the
    /// heartbeat renewed.
    #[must_use]
    pub fn knows_all_tasks(&self, now: Now) -> bool {
        let all = self.rosters.iter().all(|r| self.fenced_count(r) == r.len());
        let last = AUTHORITY_VALIDITY + crate::TASK_LEASE + DRIFT_ALLOWANCE * 3;
        all || self.majority_at.is_some_and(|at| now >= at + last)
    }

    fn fenced_count(&self, roster: &Roster) -> usize {
        roster.intersection(&self.fenced).count()
    }
}
