//! What may be said after several tries at one request.

use wire::{Answer, Class, Fault, Kind};

/// Keeps what the tries at one request have shown.
///
/// An owner says "not run" of the try that it was asked. If the answer to an earlier try was lost,
/// that one may have run, and the caller must not be told otherwise.
///
/// ```
/// use entry::Ledger;
/// use wire::{Answer, Class, Fault, Kind};
///
/// let mut ledger = Ledger::default();
/// ledger.lost();
/// let answer = ledger.answer(Answer::fault(Kind::Busy, "the rack is busy"));
/// assert_eq!(answer.class(), Class::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Ledger {
    unknown: bool,
}

impl Ledger {
    /// The answer to a try was lost.
    pub const fn lost(&mut self) {
        self.unknown = true;
    }

    /// The answer that the caller gets, going by the last try's.
    #[must_use]
    pub fn answer(self, last: Answer) -> Answer {
        let safe = matches!(last.class(), Class::Done | Class::MayHaveRun);
        if safe || !self.unknown {
            return last;
        }
        let reason = "it was sent to an owner that gave no answer";
        Fault::new(Kind::OwnerLost, reason).into()
    }
}
