//! Time since the program began.

use std::time::Duration;

use tokio::time::Instant;

/// Tells the time since it was made. It follows tokio's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Since {
    start: Instant,
}

impl Since {
    /// Begins now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant at which `now` will say this.
    #[must_use]
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
