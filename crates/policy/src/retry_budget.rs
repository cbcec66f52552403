//! How much may be retried.

/// Retries that one caller's requests may cause.
///
/// Each request pays in a share of a retry, each retry takes a whole one out. When everything
/// fails, retries add that share to the load and no more; without it a fault would multiply load.
///
/// ```
/// use policy::Budget;
///
/// let mut budget = Budget::new(0.5, 1.0);
/// assert!(budget.take());
/// assert!(!budget.take());
/// budget.pay();
/// budget.pay();
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    most: f64,
    saved: f64,
}

impl Budget {
    /// A budget of `share` retries per request that saves up `most`, and starts full.
    #[must_use]
    pub const fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            saved: most,
        }
    }

    /// Sets the share, after a change of configuration.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// One request was made.
    pub const fn pay(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
