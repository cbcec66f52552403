//! How long a host leaves others to take a pool before it does.
//!
//! Answers the load in which all hosts lose power at once and are back a second later: the one that the owner's row names is
//! among them, in a new life, and so are the heirs. All hosts want the pool, one should get it, at once. Whoever takes it, the
//! row's version lets one through, and the epoch fences the others; the order only spares the others the try.

use std::time::Duration;

/// Hosts far from the store leave the others this much time to take a pool that has had no owner yet.
const FAR_WAIT: Duration = Duration::from_millis(500);
/// Hosts far from the store leave this much more time where the owner has named heirs: when the way between the regions is
/// cut or full, all hosts of the far region lose the owner at once, and none of them should take its place.
const FAR_HEIR_WAIT: Duration = Duration::from_millis(1_500);
/// Hosts with a smaller share of a processor leave the others up to this much time.
const SMALL_WAIT: Duration = Duration::from_millis(500);
/// Heirs go one after the other, with this much time for a write, its answer, and the news of it.
const STEP: Duration = Duration::from_millis(40);

/// What a host's turn depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverDelay {
    /// The row names an earlier life of this host.
    pub own: bool,
    /// Its place among the heirs, from 0.
    pub place: Option<usize>,
    /// How many heirs the owner has named.
    pub heirs: usize,
    /// It is in another region than the store.
    pub far: bool,
    /// Its share of a processor, at most 1.
    pub processors: f64,
    /// How many pools it owns.
    pub owns: u32,
    /// What it leaves to others because it is too weak for the pool.
    pub weak: Duration,
    /// Its part of the time over which equally placed hosts are spread.
    pub spread: Duration,
}

impl TakeoverDelay {
    /// How long to wait.
    ///
    /// ```
    /// use host::takeover_delay::TakeoverDelay;
    ///
    /// let named = TakeoverDelay { own: true, heirs: 3, ..TakeoverDelay::default() };
    /// assert!(named.wait().is_zero(), "nobody else can be the owner that the row names");
    /// ```
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.own {
            return self.weak;
        }
        if let Some(place) = self.place {
            return STEP * place as u32 + self.weak;
        }
        let far = match (self.far, self.heirs) {
            (false, _) => Duration::ZERO,
            (true, 0) => FAR_WAIT,
            (true, _) => FAR_HEIR_WAIT,
        };
        let small = SMALL_WAIT.mul_f64((1.0 - self.processors).max(0.0));
        let heirs = STEP * self.heirs as u32 * 2;
        heirs + self.spread + far + small + SMALL_WAIT * self.owns + self.weak
    }
}
