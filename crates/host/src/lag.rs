//! Whether a host has time for what it does.
//!
//! Answers the load in which an owner's machine turns several times slower, or has less time than its pool needs: it goes on owning,
//! hears its workers seconds late, and plans once a second. Timers tell: what should run every few milliseconds runs late.

use pool::Ms;

/// Part that the newest timer counts in the mean.
const NEWEST: f64 = 0.25;
/// A host has no time if its timers are later than this on average, in milliseconds: several times what a busy owner sees.
const LATE: f64 = 120.0;
/// It has to be so for this long.
const LASTS: Ms = 400;

/// How late the timers of this host are.
///
/// ```
/// use host::lag::TimerLag;
///
/// let mut lag = TimerLag::default();
/// (0..40).for_each(|at| lag.note(at * 60, 10));
/// assert!(!lag.is_overloaded(2_400));
/// (0..6).for_each(|at| lag.note(3_000 + at * 500, 450));
/// assert!(lag.is_overloaded(5_500));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    mean: f64,
    since: Option<Ms>,
}

impl TimerLag {
    /// A timer was this late, in milliseconds.
    pub fn note(&mut self, now: Ms, late: Ms) {
        self.mean += NEWEST * (late as f64 - self.mean);
        self.since = (self.mean > LATE).then(|| self.since.unwrap_or(now));
    }

    /// Whether the host has had too little time for a while.
    #[must_use]
    pub fn is_overloaded(&self, now: Ms) -> bool {
        self.since
            .is_some_and(|since| now.saturating_sub(since) >= LASTS)
    }
}
