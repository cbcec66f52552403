//! When an order without an answer is sent again.
//!
//! Answers the load in which workers leave a share of the orders unanswered: a step of ten tasks is held up by a single one. A
//! copy has no effect where the order was carried out, so it is sent as soon as the answer is overdue by what the worker usually
//! takes. Further copies follow at growing intervals, since a worker that is down would get them for each of its tasks.

use crate::task::Ms;

/// Shortest time until an order is repeated: a worker that is busy for a moment answers within it.
const LEAST: Ms = 60;
/// Longest time until the first copy, and the time where no answer of the worker is known.
const MOST: Ms = 200;
/// An answer is overdue after this many times the usual time.
const OVERDUE: Ms = 3;
/// Each copy is awaited this many times as long as the one before it.
const GROWTH: Ms = 2;

/// Time from one copy of an order to the next, given the worker's usual time to answer and how often it was sent.
#[must_use]
pub(crate) fn delay(usual: Ms, copies: u32) -> Ms {
    let first = if usual == 0 {
        MOST
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
