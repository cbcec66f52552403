//! Detection of an overloaded host by the lateness of its timers.
//!
//! An owner whose machine becomes several times slower, or has less processor time than its pool needs, goes on owning the
//! pool: it receives answers of its workers seconds late and runs a scheduling pass once a second. Timers that should fire
//! every few milliseconds then fire late.

use pool::Ms;

/// Weight of the newest timer in the running mean.
const NEWEST_WEIGHT: f64 = 0.25;
/// A host is overloaded if its timers are later than this on average, in milliseconds: several times what a busy owner sees.
const OVERLOAD_LATENESS_MS: f64 = 120.0;
/// The mean has to stay above the bound for this long.
const OVERLOAD_DURATION: Ms = 400;

/// How late the timers of this host are.
///
/// ```
/// use host::lag::TimerLag;
///
/// let mut lag = TimerLag::default();
/// (0..40).for_each(|at| lag.record(at * 60, 10));
/// assert!(!lag.is_overloaded(2_400));
/// (0..6).for_each(|at| lag.record(3_000 + at * 500, 450));
/// assert!(lag.is_overloaded(5_500));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    /// Running mean of the lateness, in milliseconds.
    mean: f64,
    /// Since when the mean has been above the bound.
    since: Option<Ms>,
}

impl TimerLag {
    /// Records that a timer fired this late, in milliseconds.
    pub fn record(&mut self, now: Ms, late: Ms) {
        self.mean += NEWEST_WEIGHT * (late as f64 - self.mean);
        self.since = (self.mean > OVERLOAD_LATENESS_MS).then(|| self.since.unwrap_or(now));
    }

    /// Whether the timers have been too late on average for a while.
    #[must_use]
    pub fn is_overloaded(&self, now: Ms) -> bool {
        self.since
            .is_some_and(|since| now.saturating_sub(since) >= OVERLOAD_DURATION)
    }
}
