//! Which answer may be returned after several attempts at one request.

use wire::{Answer, Class, Fault, Kind};

/// Remembers whether an attempt at one request has an unknown outcome.
///
/// An owner's "not run" covers only the attempt that it received. If the answer to an earlier
/// attempt did not arrive, that attempt may have run, and the caller must not get "not run".
///
/// ```
/// use entry::AttemptHistory;
/// use wire::{Answer, Class, Fault, Kind};
///
/// let mut history = AttemptHistory::default();
/// history.record_lost_answer();
/// let answer = history.final_answer(Answer::fault(Kind::Busy, "the rack is busy"));
/// assert_eq!(answer.class(), Class::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    outcome_unknown: bool,
}

impl AttemptHistory {
    /// Records that an attempt was sent and its answer did not arrive.
    pub const fn record_lost_answer(&mut self) {
        self.outcome_unknown = true;
    }

    /// The answer for the caller, given the answer to the last attempt.
    #[must_use]
    pub fn final_answer(self, last: Answer) -> Answer {
        let truthful = matches!(last.class(), Class::Done | Class::MayHaveRun);
        if truthful || !self.outcome_unknown {
            return last;
        }
        let reason = "it was sent to an owner that gave no answer";
        Fault::new(Kind::OwnerLost, reason).into()
    }
}
