//! The clocks that a host goes by.

use std::time::{SystemTime, UNIX_EPOCH};

use pool::Ms;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on a clock that also counts the time in which the machine was suspended.
///
/// An owner that goes on after a pause must see that its proof is old; a clock that stood still with it would not show
/// that.
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
