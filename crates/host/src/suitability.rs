//! How well a host is placed to own a pool.
//!
//! Answers the load in which hosts are unlike: one of an eighth of a core on a line of 10 Mbit/s that takes a pool of hundreds of
//! workers can neither hear them all nor read the jobs. Leases lapse and nothing starts, while hosts of half a core stand by.
//! What a pool needs grows with its workers; a host that has too little for it is the last choice, and hands the pool on as
//! soon as another is there.

use std::time::Duration;

/// Share of a core that an owner needs for each worker of its pool.
const PROCESSORS_EACH: f64 = 0.000_6;
/// What an owner needs of its line for each worker, in Mbit/s.
const LINE_EACH: f64 = 0.04;
/// A host that is too weak for a pool leaves it to others for this much longer.
const WEAK_WAIT: Duration = Duration::from_millis(1_500);

/// A host, as far as it matters for owning a pool.
#[derive(Clone, Copy, Debug)]
pub struct Suitability {
    /// It is in the store's region.
    pub near: bool,
    /// Its share of a processor.
    pub processors: f64,
    /// Its line, in Mbit/s.
    pub line: f64,
    /// How many pools it would own with this one. An owner of several counts those up to this one, so that it keeps the
    /// first and hands the others over, rather than all at once.
    pub pools: u32,
}

impl Suitability {
    /// How much of what a pool of so many workers needs the host has, at most 1.
    ///
    /// ```
    /// use host::suitability::Suitability;
    ///
    /// let weak = Suitability { near: true, processors: 0.12, line: 10.0, pools: 1 };
    /// assert!(weak.suits(48) && !weak.suits(350));
    /// ```
    #[must_use]
    pub fn share(&self, workers: u32) -> f64 {
        let pools = f64::from(self.pools.max(1));
        let need = f64::from(workers.max(1)) * pools;
        let processors = self.processors / (PROCESSORS_EACH * need);
        let line = self.line / (LINE_EACH * need);
        processors.min(line).min(1.0)
    }

    /// The largest pool that the host should own, in workers.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        let processors = self.processors / PROCESSORS_EACH;
        let line = self.line / LINE_EACH;
        (processors.min(line) / f64::from(self.pools.max(1))) as u32
    }

    /// Whether the host has what a pool of so many workers needs.
    #[must_use]
    pub fn suits(&self, workers: u32) -> bool {
        self.share(workers) >= 1.0
    }

    /// The higher, the better. A host near the store may have half the processor of one that is far; pools share it. What a
    /// pool lacks counts twice.
    #[must_use]
    pub fn rank(&self, workers: u32) -> f64 {
        let near = if self.near { 2.0 } else { 1.0 };
        let share = self.share(workers);
        self.processors * near * share * share / f64::from(self.pools.max(1))
    }

    /// Whether it is so much better placed that handing the pool over pays: a change costs about a second of starts.
    #[must_use]
    pub fn better(&self, than: &Self, workers: u32) -> bool {
        self.rank(workers) >= than.rank(workers) * 1.9
    }

    /// How much longer than others it leaves the pool to them.
    #[must_use]
    pub fn wait(&self, workers: u32) -> Duration {
        WEAK_WAIT.mul_f64(1.0 - self.share(workers))
    }
}
