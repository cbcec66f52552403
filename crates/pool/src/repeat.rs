//! Timing and budget of repeated calls.
//!
//! A call without an answer is repeated under two kinds of load that look alike. If workers leave a share of the calls
//! unanswered, a single one holds up a step of ten tasks; a copy has no effect where the command was carried out, so it is sent
//! as soon as the answer is overdue by the worker's usual response time. If a link is saturated or a host is overloaded, answers
//! come late and copies make that worse. Therefore the response time of a repeated call is counted too, the interval between
//! copies grows, and copies have a budget, which is a share of all calls.

use crate::task::Ms;

/// Minimum time until a call is repeated; a worker that is briefly busy answers within it.
const LEAST: Ms = 60;
/// Time until a call is repeated if no response time of the worker is known.
const UNKNOWN: Ms = 200;
/// Maximum time until the first copy.
const MOST: Ms = 1_000;
/// An answer is overdue after this multiple of the usual response time.
const OVERDUE: Ms = 3;
/// Factor by which the interval grows with each copy.
const GROWTH: Ms = 2;
/// Copies earned per call; higher than any share of unanswered calls for which repeating is worthwhile.
const COPIES_A_CALL: f64 = 0.2;
/// Maximum number of saved copies; enough for a few dozen workers that stop answering at the same time.
const SAVED_MOST: f64 = 50.0;

/// Budget of copies that may be sent.
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
    /// Adds the share of a copy that a new call earns.
    pub fn earn(&mut self) {
        self.copies = (self.copies + COPIES_A_CALL).min(SAVED_MOST);
    }

    /// Consumes one copy; returns `false` if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        let may = self.copies >= 1.0;
        if may {
            self.copies -= 1.0;
        }
        may
    }
}

/// Time until the next copy of a command, given the worker's usual response time and how often the command was sent.
#[must_use]
pub(crate) fn delay(usual: Ms, copies: u32) -> Ms {
    let first = if usual == 0 {
        UNKNOWN
    } else {
        (usual * OVERDUE).clamp(LEAST, MOST)
    };
    first * GROWTH.pow(copies.saturating_sub(1).min(4))
}

/// Moving average of the response time; the new value `took` has a weight of one quarter.
#[must_use]
pub(crate) fn usual(before: Ms, took: Ms) -> Ms {
    let took = took.max(1);
    if before == 0 {
        return took;
    }
    (before * 3 + took).div_ceil(4)
}
