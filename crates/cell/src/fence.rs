//! The proof that an owner is still the owner, and when a new one may begin.
//!
//! Two owners of one rack must never both start work on the same key. Epochs come from the table
//! and rise, and each worker obeys the highest that has adopted it. That leaves the workers that
//! a new owner can't reach: an old owner that still reaches them would go on there. So
//!
//! * an owner acts only while a **majority** of the rack's workers has acknowledged its epoch
//!   within [`AUTHORITY_VALIDITY`], counted from when it asked ([`Authority`]);
//! * a new owner acts at once if it has fenced every worker, and otherwise once it has fenced a
//!   majority and then waited until the old one's proof and its last run have expired
//!   ([`Takeover`]).
//!
//! Any two majorities share a worker, so the old owner's proof can't be renewed after the new
//! owner has fenced one. The table is not needed to go on, only to change hands: an outage of the
//! table stops no owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use resource::id;

use crate::Now;

/// How long one round of acknowledgements lets an owner act.
pub const AUTHORITY_VALIDITY: Duration = Duration::from_millis(2_000);

/// Allowance for the drift between two hosts' clocks over [`Takeover::MAX_DELAY`].
const DRIFT_ALLOWANCE: Duration = Duration::from_millis(100);

/// The workers that decide about a rack.
pub type Roster = BTreeSet<id::Worker>;

/// How many of `n` workers are more than half.
#[must_use]
pub const fn majority(n: usize) -> usize {
    n / 2 + 1
}

/// An owner's proof that it is still the owner.
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
    /// The proof of an owner whose rack has these workers; nothing is proved yet.
    #[must_use]
    pub const fn new(roster: Roster) -> Self {
        Self {
            roster,
            acknowledged: BTreeMap::new(),
        }
    }

    /// The workers that count.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// A worker has acknowledged the epoch, in reply to a call made at `sent`.
    pub fn acknowledge(&mut self, worker: &str, sent: Now) {
        if !self.roster.contains(worker) {
            return;
        }
        let latest = self.acknowledged.entry(worker.to_owned()).or_default();
        *latest = sent.max(*latest);
    }

    /// A worker has lost its memory; what it acknowledged counts no more.
    pub fn revoke(&mut self, worker: &str) {
        self.acknowledged.remove(worker);
    }

    /// Until when the owner may act; `None` if no majority has acknowledged it.
    #[must_use]
    pub fn valid_until(&self) -> Option<Now> {
        let mut acknowledged: Vec<Now> = self.acknowledged.values().copied().collect();
        acknowledged.sort_unstable_by(|a, b| b.cmp(a));
        let nth = acknowledged.get(majority(self.roster.len()) - 1)?;
        Some(*nth + AUTHORITY_VALIDITY)
    }

    /// Whether the owner may act now.
    #[must_use]
    pub fn is_valid(&self, now: Now) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }
}

/// A new owner's way to its first action.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Takeover {
    rosters: Vec<Roster>,
    fenced: BTreeSet<id::Worker>,
    majority_at: Option<Now>,
}

impl Takeover {
    /// Time from fencing a majority to the first action: by then the old owner's proof has
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

    /// A worker obeys the new epoch, or exists no more.
    pub fn fence(&mut self, worker: &str, now: Now) {
        self.fenced.insert(worker.to_owned());
        let enough = |r: &Roster| r.is_empty() || self.fenced_count(r) >= majority(r.len());
        if self.majority_at.is_none() && self.rosters.iter().all(enough) {
            self.majority_at = Some(now);
        }
    }

    /// Whether a worker obeys the new epoch.
    #[must_use]
    pub fn has_fenced(&self, worker: &str) -> bool {
        self.fenced.contains(worker)
    }

    /// Whether the new owner may act.
    #[must_use]
    pub fn ready(&self, now: Now) -> bool {
        let all = self.rosters.iter().all(|r| self.fenced_count(r) == r.len());
        all || self
            .majority_at
            .is_some_and(|at| now >= at + Self::MAX_DELAY)
    }

    /// Whether no task can run that the new owner has not seen: every worker was fenced, or the
    /// old owner's last heartbeat has expired, and with it every task lease that it renewed.
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
