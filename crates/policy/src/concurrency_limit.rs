//! How many requests are admitted at once.

use std::time::Duration;

/// A concurrency limit that adapts to measured latency.
///
/// While latency stays close to the lowest seen and at least half of the limit is in use, the limit grows by one
/// per round of answers. When latency is much higher, work is queueing downstream and the limit shrinks. Requests
/// over the limit are rejected at once, instead of waiting in a queue that they can't leave before their deadline.
///
/// ```
/// use policy::ConcurrencyLimit;
/// use std::time::Duration;
///
/// let mut limit = ConcurrencyLimit::new(2, 100);
/// assert!(limit.try_acquire() && limit.try_acquire());
/// assert!(!limit.try_acquire());
/// limit.release(Some(Duration::from_millis(5)));
/// assert!(limit.try_acquire());
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    in_flight: u32,
    /// Lowest recent latency, in seconds.
    min_latency: f64,
    /// Moving average of latency, in seconds.
    mean_latency: f64,
    answers: u32,
}

/// A mean latency above the lowest latency times this factor means that work is queueing.
const QUEUEING_FACTOR: f64 = 3.0;
/// A smaller difference between the mean and the lowest latency never counts as queueing, in seconds.
const LATENCY_TOLERANCE_S: f64 = 0.020;
/// Approximate share of the limit that is kept after a whole round of slow answers.
const SHRINK_FACTOR: f64 = 0.9;
/// Weight of one answer in the moving average of latency.
const MEAN_WEIGHT: f64 = 0.05;
/// Factor by which the lowest latency grows with each answer, so that it follows lasting changes.
const MIN_LATENCY_GROWTH: f64 = 1.000_2;
/// The limit never shrinks below this, unless the configured maximum is lower.
const MIN_LIMIT: f64 = 4.0;

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` and never exceeds `max`.
    #[must_use]
    pub fn new(start: u32, max: u32) -> Self {
        Self {
            limit: f64::from(start),
            max: f64::from(max),
            in_flight: 0,
            min_latency: f64::INFINITY,
            mean_latency: 0.0,
            answers: 0,
        }
    }

    /// Admits one request; `false` if the limit is reached.
    pub fn try_acquire(&mut self) -> bool {
        if f64::from(self.in_flight) + 1.0 > self.limit {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records that an admitted request has ended. `latency` is `None` if its duration says nothing about load.
    pub fn release(&mut self, latency: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(latency) = latency.map(|l| l.as_secs_f64()) else {
            return;
        };
        self.answers += 1;
        self.min_latency = (self.min_latency * MIN_LATENCY_GROWTH).min(latency);
        self.mean_latency = match self.answers {
            1 => latency,
            _ => self.mean_latency + MEAN_WEIGHT * (latency - self.mean_latency),
        };
        self.adapt();
    }

    /// Sets the maximum of the limit, after a change of configuration.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max);
        self.limit = self.limit.min(self.max);
    }

    /// Number of admitted requests that have not ended.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The current limit.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    fn adapt(&mut self) {
        let slow = self.mean_latency > self.min_latency * QUEUEING_FACTOR
            && self.mean_latency > self.min_latency + LATENCY_TOLERANCE_S;
        let busy = f64::from(self.in_flight) + 1.0 >= self.limit / 2.0;
        if slow {
            // Spreads one reduction over a round of answers instead of reducing per answer: all requests of the round
            // were admitted under the old limit, so their latencies carry the same information.
            self.limit *= 1.0 - (1.0 - SHRINK_FACTOR) / self.limit.max(1.0);
        } else if busy {
            self.limit += 1.0 / self.limit;
        }
        self.limit = self.limit.clamp(MIN_LIMIT.min(self.max), self.max);
    }
}
