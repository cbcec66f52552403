//! State behind a lock, with the clock by which it changes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use telemetry::Uptime;
use worker::call::Moment;

/// State whose changes are timed, in milliseconds since it was created.
#[derive(Debug)]
pub(crate) struct Timed<T> {
    uptime: Uptime,
    state: Mutex<T>,
}

impl<T: Default> Default for Timed<T> {
    fn default() -> Self {
        Self::new(T::default())
    }
}

impl<T> Timed<T> {
    /// Starts the clock.
    pub(crate) fn new(state: T) -> Self {
        Self {
            uptime: Uptime::start(),
            state: Mutex::new(state),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `change` with the state and the time. The time is read under the lock, so it never decreases from one call to the
    /// next.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut T, Moment) -> R) -> R {
        let mut state = self.lock();
        let now = self.uptime.elapsed().as_millis() as Moment;
        change(&mut state, now)
    }
}
