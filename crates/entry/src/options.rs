//! Options of the HTTP interface for callers.

use std::time::Duration;

/// Calls are answered this much before their connections are dropped, or after three quarters of the
/// time if that is later.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// How long an entry goes on serving when it stops.
///
/// ```
/// use std::time::Duration;
///
/// use entry::Options;
///
/// let options = Options::default().with_max_drain(Duration::from_secs(4));
/// assert_eq!(options.close_delay(), Duration::from_secs(2), "half of the time at most");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Options {
    close_delay: Duration,
    max_drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            close_delay: Duration::from_secs(3),
            max_drain: Duration::from_secs(10),
        }
    }
}

impl Options {
    /// Sets how long new connections are accepted after the entry has begun to drain.
    #[must_use]
    pub const fn with_close_delay(mut self, close_delay: Duration) -> Self {
        self.close_delay = close_delay;
        self
    }

    /// Sets how long after the beginning of the drain the last connections end.
    #[must_use]
    pub const fn with_max_drain(mut self, max_drain: Duration) -> Self {
        self.max_drain = max_drain;
        self
    }

    /// How long new connections are accepted after the entry has begun to drain; at most half of
    /// the whole time.
    #[must_use]
    pub fn close_delay(&self) -> Duration {
        self.close_delay.min(self.max_drain / 2)
    }

    /// Time limit for connections, counted from the end of new ones.
    #[must_use]
    pub fn closing_limit(&self) -> Duration {
        self.max_drain - self.close_delay()
    }

    /// Time limit for the outcomes of calls in progress, counted from the end of new connections.
    #[must_use]
    pub fn outcome_limit(&self) -> Duration {
        let limit = self.closing_limit();
        limit - RESPONSE_TIME.min(limit / 4)
    }
}
