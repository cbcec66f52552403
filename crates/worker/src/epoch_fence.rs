//! The fencing rule that a worker keeps.

use resource::id::{Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// Why a worker turned a command away. Nothing was started, and the same command never will be.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// Another epoch owns the worker.
    Fenced {
        /// The epoch that it follows.
        epoch: Epoch,
    },
    /// The worker has begun a new life since the sender last heard of it.
    Restarted {
        /// Its present life.
        incarnation: Incarnation,
    },
    /// The command came after its last permitted moment.
    Late,
    /// The worker is leaving.
    Leaving,
    /// All slots are taken, or the size does not fit.
    Full,
    /// This attempt was voided, or seen before.
    Voided,
}

/// Whom a worker obeys: the highest epoch that has adopted it in this life.
///
/// An owner that was paused while another took its rack still believes in itself. Its commands
/// would start work in a second place. The worker has seen the higher epoch and turns them away,
/// however late they come; so no clock of the owner has to be trusted.
///
/// ```
/// use worker::{Refusal, EpochFence};
///
/// let mut slot = EpochFence::new(1);
/// slot.adopt(4, 1).unwrap();
/// slot.adopt(5, 1).unwrap();
/// assert_eq!(slot.admit(4, 1, 10, 20), Err(Refusal::Fenced { epoch: 5 }));
/// assert_eq!(slot.admit(5, 1, 10, 20), Ok(()));
/// assert_eq!(slot.admit(5, 1, 21, 20), Err(Refusal::Late));
/// assert_eq!(slot.admit(5, 2, 10, 20), Err(Refusal::Restarted { incarnation: 1 }));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct EpochFence {
    epoch: Epoch,
    incarnation: Incarnation,
}

impl EpochFence {
    /// The slot of a worker that has just begun this life.
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

    /// The worker's present life.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Lets an epoch take the worker over.
    ///
    /// The sender names the life that it has seen. A restart wipes the slot; without the name, a
    /// deposed owner's late adoption would find an empty slot and succeed.
    ///
    /// # Errors
    /// [`Refusal::Restarted`] for another life, [`Refusal::Fenced`] for a lower epoch.
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
    /// `now` and `not_after` are in the worker's own milliseconds. A worker that the new owner
    /// could not adopt still obeys the old one; `not_after` bounds for how long. A restart begins
    /// the worker's time anew, and a command that was meant for an earlier life would never be
    /// late; so it names the life.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for any other epoch, [`Refusal::Restarted`] for any other life,
    /// [`Refusal::Late`] after `not_after`.
    pub const fn admit(
        &self,
        epoch: Epoch,
        life: Incarnation,
        now: u64,
        not_after: u64,
    ) -> Result<(), Refusal> {
        if epoch != self.epoch {
            return Err(Refusal::Fenced { epoch: self.epoch });
        }
        if life != self.incarnation {
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
