//! When a worker that fails its work is not trusted any more.
//!
//! A worker that fails everything it starts is always free, and so attracts work. [`Cusum`] is the
//! rule in use; [`Consecutive`] is kept as the baseline that it is measured against, on the same
//! traces: see "Bad workers" in `docs/DESIGN.md`.

/// Usual share of attempts that fail on a sound worker, for the rules that need one.
pub const SOUND: f64 = 0.02;
/// Share of attempts that fail on a worker that is to be found.
pub const BROKEN: f64 = 0.9;

/// A rule that watches the outcomes of one worker.
pub trait Rule: Send {
    /// Takes note of an outcome; `true` if the worker is not to be trusted from now on.
    fn failed(&mut self, failed: bool) -> bool;
    /// Forgets everything, after the worker has been given another chance.
    fn reset(&mut self);
}

/// So many failures in a row.
///
/// ```
/// use policy::detect::{Consecutive, Rule};
///
/// let mut rule = Consecutive::new(3);
/// assert!(!rule.failed(true) && !rule.failed(true));
/// assert!(rule.failed(true));
/// ```
#[derive(Clone, Debug)]
pub struct Consecutive {
    limit: u32,
    count: u32,
}

/// Cumulative sum of log-likelihood ratios, kept above zero: finds lasting changes soonest.
#[derive(Clone, Debug)]
pub struct Cusum {
    threshold: f64,
    sum: f64,
}

impl Consecutive {
    /// Distrusts a worker after this many failures in a row.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, count: 0 }
    }
}

impl Rule for Consecutive {
    fn failed(&mut self, failed: bool) -> bool {
        self.count = if failed { self.count + 1 } else { 0 };
        self.count >= self.limit
    }

    fn reset(&mut self) {
        self.count = 0;
    }
}

impl Cusum {
    /// Distrusts a worker when the sum reaches this threshold.
    #[must_use]
    pub const fn new(threshold: f64) -> Self {
        Self {
            threshold,
            sum: 0.0,
        }
    }
}

impl Rule for Cusum {
    fn failed(&mut self, failed: bool) -> bool {
        self.sum = (self.sum + ratio(failed)).max(0.0);
        self.sum >= self.threshold
    }

    fn reset(&mut self) {
        self.sum = 0.0;
    }
}

/// Logarithm of how much likelier the outcome is on a broken worker than on a sound one.
#[must_use]
pub fn ratio(failed: bool) -> f64 {
    if failed {
        (BROKEN / SOUND).ln()
    } else {
        ((1.0 - BROKEN) / (1.0 - SOUND)).ln()
    }
}
