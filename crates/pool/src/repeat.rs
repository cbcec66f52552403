//! When a call without an answer is made again, and how often that may be.
//!
//! Answers two loads that look alike. Where workers leave a share of the calls unanswered, a step of ten tasks is held up by a
//! single one; a copy has no effect where the order was carried out, so it is sent as soon as the answer is overdue by what the
//! worker usually takes. Where a line is full or a host has no time, answers come late, and copies make that worse: so what an
//! answer took counts also if the call was repeated meanwhile, copies follow at growing intervals, and they have a budget, a share of
//! all calls.

use crate::task::Ms;

/// Shortest time until a call is repeated: a worker that is busy for a moment answers within it.
const LEAST: Ms = 60;
/// The time where no answer of the worker is known.
const UNKNOWN: Ms = 200;
/// Longest time until the first copy.
const MOST: Ms = 1_000;
/// An answer is overdue after this many times the usual time.
const OVERDUE: Ms = 3;
/// Each copy is awaited this many times as long as the one before it.
const GROWTH: Ms = 2;
/// Copies for each call: more than the share of unanswered calls that is worth mending.
const COPIES_A_CALL: f64 = 0.2;
/// Copies that are saved up: those of a few dozen workers that fall silent at once.
const SAVED_MOST: f64 = 50.0;

/// Copies that may be sent.
///
/// ```
/// use pool::repeat::Budget;
///
/// let mut budget = Budget::default();
/// assert!(budget.spend(), "some are saved up");
/// let copies = (0..10_000).filter(|_| {
///     budget.earn();
///     budget.spend()
/// });
/// assert!(copies.count() < 2_100, "a fifth of all calls");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    copies: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { copies: SAVED_MOST }
    }
}

impl Budget {
    /// A call was made for the first time.
    pub fn earn(&mut self) {
        self.copies = (self.copies + COPIES_A_CALL).min(SAVED_MOST);
    }

    /// Takes a copy; `false` if there is none left.
    pub fn spend(&mut self) -> bool {
        let may = self.copies >= 1.0;
        if may {
            self.copies -= 1.0;
        }
        may
    }
}

/// Time from one copy of an order to the next, given the worker's usual time to answer and how often it was sent.
#[must_use]
pub(crate) fn delay(usual: Ms, copies: u32) -> Ms {
    let first = if usual == 0 {
        UNKNOWN
    } else {
        (usual * OVERDUE).clamp(LEAST, MOST)
    };
    first * GROWTH.pow(copies.saturating_sub(1).min(4))
}

/// The usual time to answer after another answer took `took`; each counts a quarter.
#[must_use]
pub(crate) fn usual(before: Ms, took: Ms) -> Ms {
    let took = took.max(1);
    if before == 0 {
        return took;
    }
    (before * 3 + took).div_ceil(4)
}
