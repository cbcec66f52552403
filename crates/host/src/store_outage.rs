//! When an owner that has lost the store hands its pool over to another host, and to which.
//!
//! The store may refuse the owner's host while it is available to others. Nothing of the pool can be stored then: results are not
//! reported, and hosts without the store refuse their callers. A refusal is an answer, so there is no need to wait for a late one.
//! But an outage for all hosts begins with refusals too, and then the pool should not go to the host that notices last. So the
//! store must have answered the other host after it refused the owner.

use pool::Ms;

/// An owner without any answer from the store hands its pool over after this time.
const UNANSWERED_LIMIT: Ms = 800;
/// An owner that the store has only refused hands its pool over after this time.
const REFUSED_LIMIT: Ms = 200;
/// Maximum latency of a refusal. A refusal that took longer was a connection that could not be made, and counts as no answer.
const MAX_REFUSAL_LATENCY: Ms = 150;
/// An answer of the store to another host shows that the outage doesn't affect it if it came at least this long after the
/// beginning of the outage.
const MIN_ANSWER_AFTER_START: Ms = 50;

/// An outage of the store, as one host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOutage {
    /// Time of the first call that failed.
    pub since: Ms,
    /// All calls since then were refused, rather than left without an answer.
    pub only_refusals: bool,
}

/// Availability of the store to another host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Time since which the store is available to it; `None` if it is not.
    pub available_since: Option<Ms>,
    /// Time of the store's last answer to it.
    pub last_answer: Ms,
}

impl StoreOutage {
    /// Records the failure of a call sent at `sent_at`, in an outage that began before if `outage` is given. `refused` is set if
    /// the call certainly had no effect.
    pub fn record(outage: Option<Self>, sent_at: Ms, now: Ms, refused: bool) -> Self {
        let refused = refused && now.saturating_sub(sent_at) <= MAX_REFUSAL_LATENCY;
        let outage = outage.unwrap_or(Self {
            since: sent_at,
            only_refusals: true,
        });
        Self {
            only_refusals: outage.only_refusals && refused,
            ..outage
        }
    }

    /// Whether the outage has lasted long enough to hand the pool over.
    #[must_use]
    pub fn warrants_handover(&self, now: Ms) -> bool {
        let limit = if self.only_refusals {
            REFUSED_LIMIT
        } else {
            UNANSWERED_LIMIT
        };
        now.saturating_sub(self.since) > limit
    }

    /// Whether the pool may be handed over to this host. At the end of an outage for all, some host notices first. It must not
    /// get the pool for that, so the store has to have been available to it for as long as the owner is given to notice, too.
    #[must_use]
    pub fn can_take_over(&self, now: Ms, other: &Candidate) -> bool {
        let Some(available_since) = other.available_since else {
            return false;
        };
        let steady = now.saturating_sub(available_since) >= UNANSWERED_LIMIT;
        steady && (!self.only_refusals || other.last_answer > self.since + MIN_ANSWER_AFTER_START)
    }
}
