//! How suitable a host is to own a pool.
//!
//! Hosts differ much. A host with an eighth of a core and a network bandwidth of 10 Mbit/s that takes over a pool of hundreds
//! of workers can neither receive what they all report nor read the jobs: leases lapse and nothing starts, while hosts with
//! half a core are idle. What a pool needs grows with its workers. A host that has too little for it is the last choice, and
//! hands the pool over as soon as another host is available.

use std::time::Duration;

/// Share of a core that an owner needs for each worker of its pool.
const PROCESSORS_PER_WORKER: f64 = 0.000_6;
/// Network bandwidth that an owner needs for each worker of its pool, in Mbit/s.
const LINK_MBPS_PER_WORKER: f64 = 0.04;
/// Longest extra takeover delay of a host that has too little for a pool.
const MAX_INSUFFICIENCY_DELAY: Duration = Duration::from_millis(1_500);

/// The properties of a host that matter for owning a pool.
#[derive(Clone, Copy, Debug)]
pub struct Suitability {
    /// It is in the store's region.
    pub near_store: bool,
    /// Its share of a processor.
    pub processors: f64,
    /// Its network bandwidth, in Mbit/s.
    pub link_mbps: f64,
    /// Number of pools that it would own with this one. An owner of several pools counts those up to this one, so that it
    /// keeps the first and hands over the others, rather than all at once.
    pub pools: u32,
}

impl Suitability {
    /// The share that the host has of what a pool of this many workers needs, at most 1.
    ///
    /// ```
    /// use host::suitability::Suitability;
    ///
    /// let weak = Suitability { near_store: true, processors: 0.12, link_mbps: 10.0, pools: 1 };
    /// assert!(weak.is_sufficient(48) && !weak.is_sufficient(350));
    /// ```
    #[must_use]
    pub fn sufficiency(&self, workers: u32) -> f64 {
        let pools = f64::from(self.pools.max(1));
        let need = f64::from(workers.max(1)) * pools;
        let processors = self.processors / (PROCESSORS_PER_WORKER * need);
        let bandwidth = self.link_mbps / (LINK_MBPS_PER_WORKER * need);
        processors.min(bandwidth).min(1.0)
    }

    /// The largest pool that the host should own, in workers.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let processors = self.processors / PROCESSORS_PER_WORKER;
        let bandwidth = self.link_mbps / LINK_MBPS_PER_WORKER;
        (processors.min(bandwidth) / f64::from(self.pools.max(1))) as u32
    }

    /// Whether the host has what a pool of this many workers needs.
    #[must_use]
    pub fn is_sufficient(&self, workers: u32) -> bool {
        self.sufficiency(workers) >= 1.0
    }

    /// Compares hosts; a higher score is better. A host near the store is as good as a far one with twice its processor share.
    /// The pools of a host share its processor. The square makes insufficient resources count twice.
    #[must_use]
    pub fn score(&self, workers: u32) -> f64 {
        let proximity = if self.near_store { 2.0 } else { 1.0 };
        let sufficiency = self.sufficiency(workers);
        self.processors * proximity * sufficiency * sufficiency / f64::from(self.pools.max(1))
    }

    /// Whether this host is so much better that handing the pool over to it pays: during a handover nothing starts for about
    /// a second.
    #[must_use]
    pub fn is_clearly_better(&self, than: &Self, workers: u32) -> bool {
        self.score(workers) >= than.score(workers) * 1.9
    }

    /// Extra takeover delay of a host that has too little for the pool.
    #[must_use]
    pub fn insufficiency_delay(&self, workers: u32) -> Duration {
        MAX_INSUFFICIENCY_DELAY.mul_f64(1.0 - self.sufficiency(workers))
    }
}
