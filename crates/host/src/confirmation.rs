//! How recent the configuration in force is known to be, and calls that wait until it is known to be recent enough.

use std::future::Future;
use std::time::Duration;

use pool::Ms;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock;

/// Minimum time between two queries whether the configuration is the newest. Calls with unknown keys may arrive at any rate, and
/// each query costs the owner of a pool or the store a call.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of calls of a kind that wait at the same time. Each holds a connection and some memory.
const MAX_WAITING_CALLS: usize = 256;

/// Why a call can't be told whether the configuration is the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unconfirmed {
    /// As many calls as are allowed are waiting already.
    TooManyWaiting,
    /// Nothing was learned in time.
    TimedOut,
}

impl Unconfirmed {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::TooManyWaiting => "too_many_waiting",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Kinds of calls that wait. Each has places of its own, so that calls which anyone can make don't take those of customers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Waiting {
    /// Without a key, or with one that the configuration doesn't have.
    UnknownKey,
    /// With a key that the configuration has.
    KnownKey,
}

/// The time as of which the configuration in force is known to be the newest. It never decreases: a newer configuration contains
/// all changes of the one that it replaces.
#[derive(Debug)]
pub struct Confirmation {
    confirmed_at: watch::Sender<Ms>,
    unknown_keys: Semaphore,
    known_keys: Semaphore,
    requested: Notify,
}

impl Default for Confirmation {
    fn default() -> Self {
        Self {
            confirmed_at: watch::Sender::new(0),
            unknown_keys: Semaphore::new(MAX_WAITING_CALLS),
            known_keys: Semaphore::new(MAX_WAITING_CALLS),
            requested: Notify::new(),
        }
    }
}

impl Confirmation {
    /// Records that the configuration in force was the newest at this time.
    pub fn confirm(&self, at: Ms) {
        self.confirmed_at.send_if_modified(|before| {
            let is_later = at > *before;
            *before = at.max(*before);
            is_later
        });
    }

    /// Latest time at which the configuration in force is known to have been the newest; 0 if unknown.
    #[must_use]
    pub fn confirmed_at(&self) -> Ms {
        *self.confirmed_at.borrow()
    }

    /// Time since the configuration in force was last known to be the newest.
    #[must_use]
    pub fn age(&self) -> Ms {
        clock::now().saturating_sub(self.confirmed_at())
    }

    /// Waits until the configuration is confirmed as of this time, and has [`Confirmation::run`] query for it. The number of
    /// waiting calls of each kind is bounded.
    ///
    /// # Errors
    /// If too many calls are waiting, or the configuration isn't confirmed at `until`.
    pub async fn wait(
        &self,
        waiting: Waiting,
        as_of: Ms,
        until: Instant,
    ) -> Result<(), Unconfirmed> {
        let places = match waiting {
            Waiting::UnknownKey => &self.unknown_keys,
            Waiting::KnownKey => &self.known_keys,
        };
        let _place = places
            .try_acquire()
            .map_err(|_| Unconfirmed::TooManyWaiting)?;
        if self.wait_unbounded(as_of, until).await {
            Ok(())
        } else {
            Err(Unconfirmed::TimedOut)
        }
    }

    /// Like [`Confirmation::wait`], for queries of other hosts, of which each makes one at a time; `false` if the configuration
    /// isn't confirmed at `until`.
    pub async fn wait_unbounded(&self, as_of: Ms, until: Instant) -> bool {
        let mut confirmed_at = self.confirmed_at.subscribe();
        self.requested.notify_one();
        let confirmed = confirmed_at.wait_for(|at| *at >= as_of);
        matches!(timeout_at(until, confirmed).await, Ok(Ok(_)))
    }

    /// Makes queries while calls wait, one at a time and at a bounded rate however many calls wait. A query has to end by itself
    /// and to report its result by [`Confirmation::confirm`].
    pub async fn run<Q: Future<Output = ()>>(&self, mut query: impl FnMut() -> Q) {
        loop {
            while self.confirmed_at.receiver_count() == 0 {
                self.requested.notified().await;
            }
            metrics::counter!("lentilyoke_catalog_queries_total").increment(1);
            query().await;
            sleep(QUERY_INTERVAL).await;
        }
    }
}
