//! Choice of the host that queries the advisor.
//!
//! An owner may have far more queries than one host can make, since the advisor serves one call at a time for each host; so other
//! hosts act as its proxies. Half of them are in another region or on a slow link, where the round trip costs more than a short
//! query, but little compared to a long one. So a short query goes to the proxy whose answer should be back first, judged by its
//! queued queries and by how late its earlier answers came. Long queries go to the most distant proxies, as long as one of those is
//! free, and leave the near ones to short queries.

use std::cmp::Reverse;

use pool::Ms;

/// The running mean of delays weighs the newest one by the inverse of this.
const MEAN_WINDOW: Ms = 4;
/// Upper bound of the delay that one answer counts with, so that a single outage doesn't exclude a host for long.
const MAX_DELAY: Ms = 1_000;

/// State of one host that queries the advisor.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdvisorProxy {
    /// Expected time at which the advisor has served all queries assigned to this host.
    pub busy_until: Ms,
    /// Mean delay of its answers beyond the expected duration of the queries; `None` before the first answer.
    delay: Option<Ms>,
}

/// Maximum duration of a short query.
const MAX_SHORT_QUERY: Ms = 150;
/// A query is long for a host if it takes more than this many times the delay of the host's answers.
const LONG_QUERY_DELAYS: Ms = 3;

/// Rank of a host in the choice; the smallest is chosen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Score {
    /// Time at which the answer of a short query would be back, or at which the host is free for a long one; without the duration
    /// of the query itself.
    ready_at: Ms,
    /// For long queries, the delay of the host's answers: the most distant host is chosen.
    delay: Reverse<Ms>,
}

/// Expected time of the answer to an assigned query, without the network delay.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedAt(pub Ms);

impl AdvisorProxy {
    /// Rank of this host for a query of this expected duration. `round_trip` is the time in which the platform answers the host.
    /// Until the host has answered, its delay is taken as twice that: the way between owner and host counts as much again.
    #[must_use]
    pub fn score(&self, now: Ms, round_trip: Ms, expected_duration: Ms) -> Score {
        let delay = self.delay.unwrap_or(round_trip.min(MAX_DELAY) * 2);
        let free_at = self.busy_until.max(now);
        if expected_duration > delay * LONG_QUERY_DELAYS && expected_duration > MAX_SHORT_QUERY {
            return Score {
                ready_at: free_at,
                delay: Reverse(delay),
            };
        }
        Score {
            ready_at: free_at + delay,
            delay: Reverse(0),
        }
    }

    /// Assigns a query of this expected duration to this host.
    pub fn assign(&mut self, now: Ms, expected_duration: Ms) -> ExpectedAt {
        self.busy_until = self.busy_until.max(now) + expected_duration;
        ExpectedAt(self.busy_until)
    }

    /// Records that an assigned query was answered or failed.
    pub fn complete(&mut self, now: Ms, due: ExpectedAt) {
        let delay = now.saturating_sub(due.0).min(MAX_DELAY);
        self.delay = Some(match self.delay {
            None => delay,
            Some(mean) => (mean * (MEAN_WINDOW - 1) + delay) / MEAN_WINDOW,
        });
    }
}
