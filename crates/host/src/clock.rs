//! The clocks of a host.

use std::time::{SystemTime, UNIX_EPOCH};

use pool::Ms;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on a monotonic clock that also advances while the machine is suspended.
///
/// An owner that resumes after a suspension must notice that the workers' confirmation of its ownership has expired; a clock that
/// had been suspended with it would not show that.
#[must_use]
pub fn now() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    u64::try_from(time.tv_sec).unwrap_or(0) * 1_000
        + u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
