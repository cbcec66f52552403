//! Time since the start of the process.

use std::time::Duration;

use tokio::time::Instant;

/// A monotonic clock that starts at zero when it is created. It follows tokio's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Uptime {
    start: Instant,
}

impl Uptime {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant at which [`Uptime::elapsed`] returns `elapsed`.
    #[must_use]
    pub fn instant_at(&self, elapsed: Duration) -> Instant {
        self.start + elapsed
    }
}
