//! When a worker that fails its tasks counts as faulty.
//!
//! A worker on which every task fails immediately is always free, and so attracts work. [`Cusum`] is the
//! detector in use; [`Consecutive`] is the baseline that it is compared with on the same
//! traces: see "Bad workers" in `docs/DESIGN.md`.

/// Expected share of failed attempts on a healthy worker.
pub const HEALTHY_FAILURE_RATE: f64 = 0.02;
/// Assumed share of failed attempts on a faulty worker.
pub const FAULTY_FAILURE_RATE: f64 = 0.9;

/// A detector that follows the outcomes of one worker.
pub trait Detector: Send {
    /// Records an outcome; `true` if the worker counts as faulty from now on.
    fn record(&mut self, failed: bool) -> bool;
    /// Forgets all recorded outcomes, so that the worker is judged afresh.
    fn reset(&mut self);
}

/// Detects a number of failures in a row.
///
/// ```
/// use policy::detect::{Consecutive, Detector};
///
/// let mut detector = Consecutive::new(3);
/// assert!(!detector.record(true) && !detector.record(true));
/// assert!(detector.record(true));
/// ```
#[derive(Clone, Debug)]
pub struct Consecutive {
    limit: u32,
    count: u32,
}

/// Cumulative sum of log-likelihood ratios, never below zero (CUSUM): detects a lasting change with the least delay.
#[derive(Clone, Debug)]
pub struct Cusum {
    threshold: f64,
    sum: f64,
}

impl Consecutive {
    /// Creates a detector that triggers after this many failures in a row.
    #[must_use]
    pub const fn new(limit: u32) -> Self {
        Self { limit, count: 0 }
    }
}

impl Detector for Consecutive {
    fn record(&mut self, failed: bool) -> bool {
        self.count = if failed { self.count + 1 } else { 0 };
        self.count >= self.limit
    }

    fn reset(&mut self) {
        self.count = 0;
    }
}

impl Cusum {
    /// Creates a detector that triggers when the sum reaches this threshold.
    #[must_use]
    pub const fn new(threshold: f64) -> Self {
        Self {
            threshold,
            sum: 0.0,
        }
    }
}

impl Detector for Cusum {
    fn record(&mut self, failed: bool) -> bool {
        self.sum = (self.sum + log_likelihood_ratio(failed)).max(0.0);
        self.sum >= self.threshold
    }

    fn reset(&mut self) {
        self.sum = 0.0;
    }
}

/// Logarithm of how much likelier the outcome is on a faulty worker than on a healthy one.
#[must_use]
pub fn log_likelihood_ratio(failed: bool) -> f64 {
    if failed {
        (FAULTY_FAILURE_RATE / HEALTHY_FAILURE_RATE).ln()
    } else {
        ((1.0 - FAULTY_FAILURE_RATE) / (1.0 - HEALTHY_FAILURE_RATE)).ln()
    }
}
