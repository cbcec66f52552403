//! How long decisions take.

use std::time::Duration;

/// Plans made since the last line about them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Planned {
    /// How many.
    pub plans: u32,
    /// How many orders came of them.
    pub orders: usize,
    /// The longest.
    pub longest: Duration,
    sum: Duration,
}

impl Planned {
    /// A plan took this long and gave this many orders.
    pub(super) fn add(&mut self, took: Duration, orders: usize) {
        self.plans += 1;
        self.orders += orders;
        self.longest = self.longest.max(took);
        self.sum += took;
    }

    /// Mean time of a plan.
    pub(super) fn mean(&self) -> Duration {
        self.sum / self.plans.max(1)
    }
}
