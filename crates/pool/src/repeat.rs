//! Timing and budget of repeated calls.
//!
//! A call without an answer is repeated under two kinds of load that look alike. If workers leave a share of the calls
//! unanswered, a single unanswered call holds up a step of ten tasks; a copy has no effect where the command was carried out,
//! so it is sent as soon as the answer is overdue by the worker's usual response time. If a link is saturated or a host is
//! overloaded, answers come late and copies make that worse. Therefore the response time of a repeated call is counted too, the
//! interval between copies grows, and copies have a budget, which is a share of all calls.

use crate::task::Ms;

/// Minimum time until a call is repeated; a worker that is briefly busy answers within it.
const MIN_DELAY: Ms = 60;
/// Time until a call is repeated if no response time of the worker is known.
const DEFAULT_DELAY: Ms = 200;
/// Maximum time until the first copy.
const MAX_FIRST_DELAY: Ms = 1_000;
/// An answer is overdue after this multiple of the usual response time.
const OVERDUE_FACTOR: Ms = 3;
/// Factor by which the interval grows with each copy.
const BACKOFF_FACTOR: Ms = 2;
/// Copies earned per call; higher than any share of unanswered calls for which repeating is worthwhile.
const COPIES_PER_CALL: f64 = 0.2;
/// Maximum number of saved copies; enough for a few dozen workers that stop answering at the same time.
const MAX_SAVED_COPIES: f64 = 50.0;

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
        Self {
            copies: MAX_SAVED_COPIES,
        }
    }
}

impl Budget {
    /// Adds the share of a copy that a new call earns.
    pub fn earn(&mut self) {
        self.copies = (self.copies + COPIES_PER_CALL).min(MAX_SAVED_COPIES);
    }

    /// Consumes one copy; returns `false` if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        let available = self.copies >= 1.0;
        if available {
            self.copies -= 1.0;
        }
        available
    }
}

/// Time until the next copy of a command, given the worker's usual response time (0 if unknown) and how often the command was
/// sent.
#[must_use]
pub(crate) fn delay(response_time: Ms, times_sent: u32) -> Ms {
    let first = if response_time == 0 {
        DEFAULT_DELAY
    } else {
        (response_time * OVERDUE_FACTOR).clamp(MIN_DELAY, MAX_FIRST_DELAY)
    };
    first * BACKOFF_FACTOR.pow(times_sent.saturating_sub(1).min(4))
}

/// Moving average of the response time; the new value `took` has a weight of one quarter.
#[must_use]
pub(crate) fn smoothed_response_time(average: Ms, took: Ms) -> Ms {
    let took = took.max(1);
    if average == 0 {
        return took;
    }
    (average * 3 + took).div_ceil(4)
}
