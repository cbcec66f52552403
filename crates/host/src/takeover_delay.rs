//! How long a host waits before it tries to take over a pool.
//!
//! When all hosts lose power at once and are back a second later, the host that the owner's row names is among them, in a new
//! incarnation, and so are its successors. All hosts want the pool, and one of them should get it at once. The delays
//! aren't needed for safety: the version of the row lets only one write succeed, and the epoch fences all other hosts. They only
//! spare the others a futile write.

use std::time::Duration;

/// Extra delay of hosts far from the store, for a pool that has had no owner yet.
const REMOTE_DELAY: Duration = Duration::from_millis(500);
/// Extra delay of hosts far from the store, for a pool whose owner has named successors. When the connection between the
/// regions is cut or saturated, all hosts of the far region lose the owner at once, and none of them should replace it.
const REMOTE_DELAY_WITH_SUCCESSORS: Duration = Duration::from_millis(1_500);
/// Longest extra delay of hosts with a smaller share of a processor, and extra delay for each pool that a host owns already.
const LOAD_DELAY: Duration = Duration::from_millis(500);
/// Time between two successors: enough for a write, its answer, and for other hosts to learn of it.
const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(40);

/// What the takeover delay of a host depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverDelay {
    /// The owner's row names an earlier incarnation of this host.
    pub is_former_owner: bool,
    /// Index of this host among the successors; `None` if it isn't one.
    pub successor_index: Option<usize>,
    /// Number of successors that the owner has named.
    pub successors: usize,
    /// This host is in another region than the store.
    pub remote: bool,
    /// This host's share of a processor, at most 1.
    pub processors: f64,
    /// Number of pools that this host owns.
    pub owned_pools: u32,
    /// Extra delay because this host has too few resources for the pool.
    pub insufficiency_delay: Duration,
    /// Extra delay that spreads equally suitable hosts over time.
    pub spread: Duration,
}

impl TakeoverDelay {
    /// The total delay.
    ///
    /// ```
    /// use host::takeover_delay::TakeoverDelay;
    ///
    /// let former_owner = TakeoverDelay { is_former_owner: true, successors: 3, ..TakeoverDelay::default() };
    /// assert!(former_owner.total().is_zero(), "no other host can be the owner that the row names");
    /// ```
    #[must_use]
    pub fn total(&self) -> Duration {
        if self.is_former_owner {
            return self.insufficiency_delay;
        }
        if let Some(index) = self.successor_index {
            return SUCCESSOR_INTERVAL * index as u32 + self.insufficiency_delay;
        }
        let remote = match (self.remote, self.successors) {
            (false, _) => Duration::ZERO,
            (true, 0) => REMOTE_DELAY,
            (true, _) => REMOTE_DELAY_WITH_SUCCESSORS,
        };
        let small = LOAD_DELAY.mul_f64((1.0 - self.processors).max(0.0));
        let successors = SUCCESSOR_INTERVAL * self.successors as u32 * 2;
        successors
            + self.spread
            + remote
            + small
            + LOAD_DELAY * self.owned_pools
            + self.insufficiency_delay
    }
}
