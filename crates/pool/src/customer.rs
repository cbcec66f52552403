//! Customers as far as scheduling is concerned.

use std::sync::Arc;

use resource::Size;
use serde::{Deserialize, Serialize};

/// Name of a customer; empty for a job that belongs to none.
pub type CustomerId = Arc<str>;

/// What a customer is entitled to in the whole deployment.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct CustomerPolicy {
    /// The customer's share when all capacity is in use, and the number of its jobs per second that are owed.
    pub weight: f64,
    /// Resources that its tasks may use at the same time, on all workers together; a component of 0 is not limited.
    pub limit: Size,
}

/// What a customer is entitled to in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Entitlement {
    /// As [`CustomerPolicy::weight`], for the jobs of this pool.
    pub weight: f64,
    /// Resources that its tasks may use at the same time in this pool.
    pub limit: Limit,
}

/// Upper bound of an amount of resources; a component of `None` is not limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limit {
    /// Processor time, in thousandths of a core.
    pub millicores: Option<u64>,
    /// Memory, in MiB.
    pub memory_mib: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

impl From<Size> for Limit {
    /// A component of 0 is not limited.
    fn from(size: Size) -> Self {
        let bound = |value: u64| (value > 0).then_some(value);
        Self {
            millicores: bound(size.millicores),
            memory_mib: bound(size.memory_mib),
            accelerators: bound(size.accelerators),
        }
    }
}

impl Limit {
    /// The part of this limit that belongs to `units` of `of` units, rounded down. A part of 0 units allows nothing of a limited
    /// component.
    ///
    /// ```
    /// use pool::Limit;
    /// use resource::Size;
    ///
    /// let limit = Limit::from(Size::new(9_000, 0, 0));
    /// assert_eq!(limit.share(1, 2).millicores, Some(4_500));
    /// assert_eq!(limit.share(0, 2).millicores, Some(0));
    /// assert_eq!(limit.share(0, 2).memory_mib, None);
    /// ```
    #[must_use]
    pub fn share(self, units: u32, of: u32) -> Self {
        let part = |bound: Option<u64>| {
            bound
                .map(|value| (u128::from(value) * u128::from(units) / u128::from(of.max(1))) as u64)
        };
        Self {
            millicores: part(self.millicores),
            memory_mib: part(self.memory_mib),
            accelerators: part(self.accelerators),
        }
    }

    /// What may be used beside `used`; `u64::MAX` for a component that is not limited.
    ///
    /// ```
    /// use pool::Limit;
    /// use resource::Size;
    ///
    /// let limit = Limit::from(Size::new(4_000, 100, 0));
    /// assert_eq!(limit.headroom(Size::new(3_000, 200, 0)), Size::new(1_000, 0, u64::MAX));
    /// ```
    #[must_use]
    pub fn headroom(self, used: Size) -> Size {
        let left = |bound: Option<u64>, used: u64| {
            bound.map_or(u64::MAX, |bound| bound.saturating_sub(used))
        };
        Size::new(
            left(self.millicores, used.millicores),
            left(self.memory_mib, used.memory_mib),
            left(self.accelerators, used.accelerators),
        )
    }

    /// Whether `more` may be used beside `used`. After the limit has fallen below what is in use, nothing may, not even a task that
    /// needs none of the component that is exceeded.
    #[must_use]
    pub fn allows(self, used: Size, more: Size) -> bool {
        let allows = |bound: Option<u64>, used: u64, more: u64| {
            bound.is_none_or(|bound| used.saturating_add(more) <= bound)
        };
        allows(self.millicores, used.millicores, more.millicores)
            && allows(self.memory_mib, used.memory_mib, more.memory_mib)
            && allows(self.accelerators, used.accelerators, more.accelerators)
    }

    /// Whether no component is limited.
    #[must_use]
    pub fn is_unlimited(self) -> bool {
        self == Self::default()
    }
}
