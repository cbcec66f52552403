//! A worker's time as its owner knows it.

use std::time::Duration;

use worker::call::Moment;

use crate::Now;

/// Two clocks may drift apart by this share; workers and owners are watched by the platform's
/// time service, which holds them far closer.
const DRIFT_DIVISOR: u32 = 100;

/// Ties a worker's own moments to the owner's time, from one reply.
///
/// The reply was written somewhere between `sent` and `received`. Every conversion takes the end
/// of that span which makes the owner promise less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clock {
    moment: Moment,
    sent: Now,
    received: Now,
}

impl Clock {
    /// The worker said that its time was `moment`, in reply to a call made at `sent`.
    #[must_use]
    pub const fn new(moment: Moment, sent: Now, received: Now) -> Self {
        Self {
            moment,
            sent,
            received,
        }
    }

    /// A moment of the worker that certainly comes no later than `time`.
    ///
    /// ```
    /// use cell::Clock;
    /// use std::time::Duration;
    ///
    /// let ms = Duration::from_millis;
    /// let clock = Clock::new(500, ms(10), ms(30));
    /// assert!(clock.earliest_moment(ms(1_030)) <= 500 + 1_000);
    /// ```
    #[must_use]
    pub fn earliest_moment(&self, time: Now) -> Moment {
        let ahead = time.saturating_sub(self.received);
        let ahead = ahead - ahead / DRIFT_DIVISOR;
        self.moment + ahead.as_millis() as Moment
    }

    /// A time that certainly comes no earlier than the worker's `moment`.
    #[must_use]
    pub fn latest_time(&self, moment: Moment) -> Now {
        let ahead = Duration::from_millis(moment.saturating_sub(self.moment));
        self.received + ahead + ahead / DRIFT_DIVISOR
    }
}
