//! How many requests are let in at once.

use std::time::Duration;

/// A limit on concurrency that follows measured latency.
///
/// While answers come about as fast as they ever did, the limit grows by one for each full round;
/// when they come much slower, work is queueing somewhere behind, and the limit shrinks. What is
/// turned away is told so at once, instead of waiting in a queue that it can't leave in time.
///
/// ```
/// use policy::Limit;
/// use std::time::Duration;
///
/// let mut limit = Limit::new(2, 100);
/// assert!(limit.enter() && limit.enter());
/// assert!(!limit.enter());
/// limit.leave(Some(Duration::from_millis(5)));
/// assert!(limit.enter());
/// ```
#[derive(Clone, Debug)]
pub struct Limit {
    limit: f64,
    most: f64,
    inside: u32,
    fastest: f64,
    usual: f64,
    answers: u32,
}

/// Answers this many times slower than the fastest mean that work is queueing.
const SLOW: f64 = 3.0;
/// Differences below this are never taken for queueing, in seconds.
const TOLERANCE: f64 = 0.020;
/// Share of the limit that is kept when it shrinks.
const SHRINK: f64 = 0.9;
/// Weight of one answer in the usual latency.
const WEIGHT: f64 = 0.05;
/// The fastest latency fades by this factor with each answer, so that it follows lasting changes.
const FADE: f64 = 1.000_2;
/// The limit never shrinks below this.
const LEAST: f64 = 4.0;

impl Limit {
    /// A limit that starts at `start` and never exceeds `most`.
    #[must_use]
    pub fn new(start: u32, most: u32) -> Self {
        Self {
            limit: f64::from(start),
            most: f64::from(most),
            inside: 0,
            fastest: f64::INFINITY,
            usual: 0.0,
            answers: 0,
        }
    }

    /// Lets one request in, if there is room.
    pub fn enter(&mut self) -> bool {
        if f64::from(self.inside) + 1.0 > self.limit {
            return false;
        }
        self.inside += 1;
        true
    }

    /// One request has left; `latency` if it was answered, `None` if it says nothing about load.
    pub fn leave(&mut self, latency: Option<Duration>) {
        self.inside = self.inside.saturating_sub(1);
        let Some(latency) = latency.map(|l| l.as_secs_f64()) else {
            return;
        };
        self.answers += 1;
        self.fastest = (self.fastest * FADE).min(latency);
        self.usual = match self.answers {
            1 => latency,
            _ => self.usual + WEIGHT * (latency - self.usual),
        };
        self.adapt();
    }

    /// Sets the most that is ever let in, after a change of configuration.
    pub fn set_most(&mut self, most: u32) {
        self.most = f64::from(most);
        self.limit = self.limit.min(self.most);
    }

    /// Requests inside.
    #[must_use]
    pub const fn inside(&self) -> u32 {
        self.inside
    }

    /// The present limit.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit as u32
    }

    fn adapt(&mut self) {
        let slow = self.usual > self.fastest * SLOW && self.usual > self.fastest + TOLERANCE;
        let busy = f64::from(self.inside) + 1.0 >= self.limit / 2.0;
        if slow {
            // Once per round of answers, not once per answer: the others of the round were let in
            // under the old limit and say nothing new.
            self.limit *= 1.0 - (1.0 - SHRINK) / self.limit.max(1.0);
        } else if busy {
            self.limit += 1.0 / self.limit;
        }
        self.limit = self.limit.clamp(LEAST.min(self.most), self.most);
    }
}
