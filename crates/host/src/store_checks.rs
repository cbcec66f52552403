//! How often a host without other calls checks that the store is available to it.
//!
//! Each check is a call to the store, by a poll that waits. All hosts together may make a fixed number of them a second, so the
//! more hosts there are, the longer each poll waits. A poll whose connection is reset fails at once. What a longer wait delays is
//! the notice of a store that has become silent for this host alone; until then its inserts go through an owner after a short
//! delay, and owners that lose the store have all hosts check at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use pool::Ms;

/// Number of checks that all hosts of a deployment make in a second, at most, while the store answers.
const MAX_CHECKS_PER_S: u32 = 60;
/// Shortest time between two checks of a host.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between two checks of a host; a store closes a poll that waits for more than 30 s.
const MAX_INTERVAL: Duration = Duration::from_secs(20);
/// While the store fails, a host checks this many times as often.
const FAILING_FACTOR: u32 = 5;
/// Time that an answer may take beyond the wait of its poll.
const ANSWER_MARGIN: Ms = 600;

/// Timing of the checks of one host.
#[derive(Debug)]
pub struct StoreChecks {
    /// Time for which the store counts as available after an answer, in milliseconds.
    validity: AtomicU64,
}

impl Default for StoreChecks {
    fn default() -> Self {
        Self {
            validity: AtomicU64::new(validity(MIN_INTERVAL)),
        }
    }
}

impl StoreChecks {
    /// Time between two checks of a host in a deployment of this many hosts.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use host::store_checks::StoreChecks;
    ///
    /// assert_eq!(StoreChecks::interval(9), Duration::from_secs(2));
    /// assert_eq!(StoreChecks::interval(600), Duration::from_secs(10));
    /// ```
    #[must_use]
    pub fn interval(hosts: u32) -> Duration {
        let interval = Duration::from_secs(hosts.into()) / MAX_CHECKS_PER_S;
        interval.clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Time until the next check after a failed one.
    #[must_use]
    pub fn retry_delay(hosts: u32) -> Duration {
        Self::interval(hosts) / FAILING_FACTOR
    }

    /// Begins checks at this interval. An answer counts until the next one is due.
    pub fn begin(&self, interval: Duration) {
        self.validity.store(validity(interval), Ordering::Relaxed);
    }

    /// Time for which the store counts as available after an answer.
    #[must_use]
    pub fn validity(&self) -> Ms {
        self.validity.load(Ordering::Relaxed)
    }
}

fn validity(interval: Duration) -> Ms {
    interval.as_millis() as Ms + ANSWER_MARGIN
}
