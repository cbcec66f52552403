//! When an owner that the store doesn't serve gives its pool to another host, and to which.
//!
//! Answers the load in which the store turns the owner's host away and serves others. Nothing of the pool can be stored then: ends
//! are not told, and callers of hosts without the store are refused. A refusal is an answer, so it needs no wait for one that may
//! still come; but an outage begins with refusals too, and then no host should get the pool for being the last to notice. So the
//! other host has to have been served after the owner was refused.

use pool::Ms;

/// An owner that has got no answers from the store for this long gives the pool up.
const UNANSWERED: Ms = 800;
/// An owner that has got nothing but refusals for this long gives the pool up.
const REFUSED: Ms = 200;
/// A refusal comes within this time. One that took longer is a connection that could not be made: no answer.
const REFUSAL_MOST: Ms = 150;
/// An answer of the store to another host says something of the outage if it came this much after it began.
const AFTER: Ms = 50;

/// Since when the store serves a host no more, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unserved {
    /// When the first call that failed was made.
    pub since: Ms,
    /// All calls since were refused; none went without an answer.
    pub refused: bool,
}

/// What is known of another host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Since when the store serves it; `None` if it doesn't.
    pub served: Option<Ms>,
    /// When the store answered it last.
    pub answered: Ms,
}

impl Unserved {
    /// A call that was made then has failed; `refused` if it was surely not done.
    pub fn note(before: Option<Self>, asked: Ms, now: Ms, refused: bool) -> Self {
        let refused = refused && now.saturating_sub(asked) <= REFUSAL_MOST;
        let before = before.unwrap_or(Self {
            since: asked,
            refused: true,
        });
        Self {
            refused: before.refused && refused,
            ..before
        }
    }

    /// Whether the pool is to go to another host.
    #[must_use]
    pub fn gives_up(&self, now: Ms) -> bool {
        let limit = if self.refused { REFUSED } else { UNANSWERED };
        now.saturating_sub(self.since) > limit
    }

    /// Whether that host may get it. When an outage ends for all, one host notices first. It must not get the pool for that: the
    /// owner has as much time to notice it too.
    #[must_use]
    pub fn takes(&self, now: Ms, other: &Candidate) -> bool {
        let Some(served) = other.served else {
            return false;
        };
        let steady = now.saturating_sub(served) >= UNANSWERED;
        steady && (!self.refused || other.answered > self.since + AFTER)
    }
}
