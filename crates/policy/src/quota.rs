//! Who may take how much.

use resource::Size;

/// The use that one team makes of its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// What the team may take when others want their share as well.
    pub quota: Size,
    /// What it takes.
    pub used: Size,
    /// Whether it may use what others leave idle.
    pub borrow: bool,
}

/// How a task stands towards its team's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Within the quota.
    Within,
    /// Beyond it; may run on what others leave idle, and yields to them.
    Borrowing,
    /// Beyond it, and the team may not borrow: it waits.
    Beyond,
}

impl Quota {
    /// How one more task of this size would stand.
    ///
    /// ```
    /// use policy::Quota;
    /// use policy::Standing;
    /// use resource::Size;
    ///
    /// let cores = |n: u64| Size::new(n * 1_000, 0, 0);
    /// let quota = Quota { quota: cores(4), used: cores(3), borrow: true };
    /// assert_eq!(quota.standing(cores(1)), Standing::Within);
    /// assert_eq!(quota.standing(cores(2)), Standing::Borrowing);
    /// ```
    #[must_use]
    pub fn standing(&self, size: Size) -> Standing {
        if self.within(size) {
            return Standing::Within;
        }
        if self.borrow {
            Standing::Borrowing
        } else {
            Standing::Beyond
        }
    }

    /// A quota of zero accelerators does not keep a team from them: they are shared by need.
    fn within(&self, size: Size) -> bool {
        let wanted = self.used.plus(size);
        wanted.millicores <= self.quota.millicores
            && wanted.memory_mib <= self.quota.memory_mib
            && (self.quota.accelerators == 0 || wanted.accelerators <= self.quota.accelerators)
    }
}
