//! A worker's clock as seen by the owner of its rack.

use std::time::Duration;

use worker::call::Moment;

use crate::Now;

/// Two clocks may drift apart by one part in this many, i.e. 1 %. The platform's time service keeps
/// the clocks of workers and owners far closer than that.
const DRIFT_DIVISOR: u32 = 100;

/// Maps between a worker's clock and the owner's clock, based on one reply.
///
/// The worker wrote the reply at some time between `sent` and `received`. Each conversion assumes
/// the end of that interval that is the safe one for the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clock {
    moment: Moment,
    sent: Now,
    received: Now,
}

impl Clock {
    /// The worker reported the time `moment` in reply to a call made at `sent`.
    #[must_use]
    pub const fn new(moment: Moment, sent: Now, received: Now) -> Self {
        Self {
            moment,
            sent,
            received,
        }
    }

    /// A lower bound on the worker's clock at `time`.
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

    /// An upper bound on the time at which the worker's clock shows `moment`.
    #[must_use]
    pub fn latest_time(&self, moment: Moment) -> Now {
        let ahead = Duration::from_millis(moment.saturating_sub(self.moment));
        self.received + ahead + ahead / DRIFT_DIVISOR
    }
}
