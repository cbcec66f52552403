//! Whether a team may use more resources.

use resource::Size;

/// A team's quota and its current use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Resources guaranteed to the team when other teams use their quotas too.
    pub quota: Size,
    /// Resources that the team uses.
    pub used: Size,
    /// Whether the team may use resources that other teams leave idle.
    pub borrow: bool,
}

/// Whether a task fits into its team's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaStatus {
    /// Within the quota.
    Within,
    /// Over the quota; the task may run on resources that other teams leave idle, and is preempted when they
    /// need them.
    Borrowing,
    /// Over the quota, and the team may not borrow: the task waits.
    Exceeded,
}

impl Quota {
    /// Status of the quota with one more task of this size.
    ///
    /// ```
    /// use policy::Quota;
    /// use policy::QuotaStatus;
    /// use resource::Size;
    ///
    /// let cores = |n: u64| Size::new(n * 1_000, 0, 0);
    /// let quota = Quota { quota: cores(4), used: cores(3), borrow: true };
    /// assert_eq!(quota.status_with(cores(1)), QuotaStatus::Within);
    /// assert_eq!(quota.status_with(cores(2)), QuotaStatus::Borrowing);
    /// ```
    #[must_use]
    pub fn status_with(&self, size: Size) -> QuotaStatus {
        if self.within(size) {
            return QuotaStatus::Within;
        }
        if self.borrow {
            QuotaStatus::Borrowing
        } else {
            QuotaStatus::Exceeded
        }
    }

    /// Whether one more task of this size stays within the quota. A quota of zero accelerators does not
    /// exclude a team from accelerators: those are shared by need.
    fn within(&self, size: Size) -> bool {
        let wanted = self.used.plus(size);
        wanted.millicores <= self.quota.millicores
            && wanted.memory_mib <= self.quota.memory_mib
            && (self.quota.accelerators == 0 || wanted.accelerators <= self.quota.accelerators)
    }
}
