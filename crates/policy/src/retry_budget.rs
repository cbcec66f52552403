//! How much may be retried.

/// A budget for the retries that one caller's requests may cause.
///
/// Each request deposits a fraction of a retry and each retry withdraws a whole one. If everything fails,
/// retries add at most that fraction to the load; without a budget, retries would multiply the load during a
/// fault.
///
/// ```
/// use policy::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.5, 1.0);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    max: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `share` retries per request and holds at most `max` retries.
    #[must_use]
    pub const fn new(share: f64, max: f64) -> Self {
        Self {
            share,
            max,
            balance: max,
        }
    }

    /// Sets the retries gained per request, after a change of configuration.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records a request, which adds its share of a retry.
    pub const fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(self.max);
    }

    /// Withdraws one retry; `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
