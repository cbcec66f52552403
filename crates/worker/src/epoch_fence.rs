//! The fencing rule that a worker enforces.

use resource::id::{Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// Why a worker rejected a command. Nothing was started, and this command will never be carried
/// out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The worker obeys another epoch.
    Fenced {
        /// The epoch that it obeys.
        epoch: Epoch,
    },
    /// The worker has restarted since the sender last heard from it.
    Restarted {
        /// Its current incarnation.
        incarnation: Incarnation,
    },
    /// The command arrived after its latest permitted moment.
    Late,
    /// The worker is leaving.
    Leaving,
    /// All slots are in use, or the task does not fit.
    Full,
    /// This attempt was voided, or was received before.
    Voided,
}

/// The epoch that a worker obeys: the highest one that has adopted it in this incarnation.
///
/// An owner that was paused while another one took its rack still considers itself the owner, and
/// its commands would start the same work in a second place. The worker has seen the higher epoch
/// and rejects them, however late they arrive, so no owner's clock has to be trusted.
///
/// ```
/// use worker::{EpochFence, Refusal};
///
/// let mut fence = EpochFence::new(1);
/// fence.adopt(4, 1).unwrap();
/// fence.adopt(5, 1).unwrap();
/// assert_eq!(fence.admit(4, 1, 10, 20), Err(Refusal::Fenced { epoch: 5 }));
/// assert_eq!(fence.admit(5, 1, 10, 20), Ok(()));
/// assert_eq!(fence.admit(5, 1, 21, 20), Err(Refusal::Late));
/// assert_eq!(fence.admit(5, 2, 10, 20), Err(Refusal::Restarted { incarnation: 1 }));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EpochFence {
    epoch: Epoch,
    incarnation: Incarnation,
}

impl EpochFence {
    /// The fence of a worker whose incarnation has just begun.
    #[must_use]
    pub const fn new(incarnation: Incarnation) -> Self {
        Self {
            epoch: 0,
            incarnation,
        }
    }

    /// The epoch that is obeyed; 0 if none has adopted the worker yet.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The worker's current incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Makes the worker obey an epoch.
    ///
    /// The sender passes the incarnation that it has seen. A restart resets the fence; without that
    /// check a late adoption by a deposed owner would find no epoch and succeed.
    ///
    /// # Errors
    /// [`Refusal::Restarted`] for another incarnation, [`Refusal::Fenced`] for a lower epoch.
    pub const fn adopt(&mut self, epoch: Epoch, seen: Incarnation) -> Result<(), Refusal> {
        if seen != self.incarnation {
            return Err(Refusal::Restarted {
                incarnation: self.incarnation,
            });
        }
        if epoch < self.epoch {
            return Err(Refusal::Fenced { epoch: self.epoch });
        }
        self.epoch = epoch;
        Ok(())
    }

    /// Whether a command of this epoch may be carried out.
    ///
    /// `now` and `not_after` are in milliseconds of the worker's clock. A worker that the new owner
    /// could not adopt still obeys the old one; `not_after` limits for how long. A restart sets the
    /// worker's clock back to zero, so that a command intended for an earlier incarnation would not
    /// be late; therefore the command names the incarnation.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for any other epoch, [`Refusal::Restarted`] for any other incarnation,
    /// [`Refusal::Late`] after `not_after`.
    pub const fn admit(
        &self,
        epoch: Epoch,
        incarnation: Incarnation,
        now: u64,
        not_after: u64,
    ) -> Result<(), Refusal> {
        if epoch != self.epoch {
            return Err(Refusal::Fenced { epoch: self.epoch });
        }
        if incarnation != self.incarnation {
            return Err(Refusal::Restarted {
                incarnation: self.incarnation,
            });
        }
        if now > not_after {
            return Err(Refusal::Late);
        }
        Ok(())
    }
}
