//! Customers as far as scheduling is concerned.

use std::sync::Arc;

use resource::Size;
use serde::{Deserialize, Serialize};

/// Name of a customer; empty for a job that belongs to none.
pub type CustomerId = Arc<str>;

/// What a customer is entitled to.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct CustomerPolicy {
    /// The customer's share when all capacity is in use, and the number of its jobs per second that are owed.
    pub weight: f64,
    /// Resources that its tasks may use at the same time, on all workers together; a component of 0 is not limited.
    pub limit: Size,
}

/// Resources that tasks may use at the same time; a component of `None` is not limited, one of `Some(0)` allows nothing.
///
/// ```
/// use pool::Limit;
/// use resource::Size;
///
/// let limit = Limit::from(Size::new(8_000, 4_096, 0));
/// assert_eq!(limit.accelerators, None);
/// // A quarter of the limit; the component without a limit stays without one.
/// let part = limit.share(250_000, 1_000_000);
/// assert_eq!(part.millicores, Some(2_000));
/// assert!(part.allows(Size::new(1_000, 0, 0), Size::new(1_000, 512, 9)));
/// assert!(!part.allows(Size::new(1_000, 0, 0), Size::new(1_001, 512, 0)));
/// assert_eq!(part.headroom(Size::new(3_000, 24, 0)), Size::new(0, 1_000, u64::MAX));
/// // Without any units nothing may be used.
/// assert_eq!(limit.share(0, 1_000_000).millicores, Some(0));
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Limit {
    /// Processor time, in thousandths of a core.
    pub millicores: Option<u64>,
    /// Memory, in MiB.
    pub memory_mib: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

impl Limit {
    /// The share of `units` in `of` units of this limit, rounded down. `of` must not be 0.
    #[must_use]
    pub fn share(self, units: u32, of: u32) -> Self {
        let share = |limit: u64| (u128::from(limit) * u128::from(units) / u128::from(of)) as u64;
        Self {
            millicores: self.millicores.map(share),
            memory_mib: self.memory_mib.map(share),
            accelerators: self.accelerators.map(share),
        }
    }

    /// Whether `more` may be used in addition to `used`. After the limit fell below what is in use, nothing more may be used, not
    /// even by a task that needs none of the component that is exceeded.
    #[must_use]
    pub fn allows(self, used: Size, more: Size) -> bool {
        let allows = |limit: Option<u64>, used: u64, more: u64| {
            limit.is_none_or(|limit| used.saturating_add(more) <= limit)
        };
        allows(self.millicores, used.millicores, more.millicores)
            && allows(self.memory_mib, used.memory_mib, more.memory_mib)
            && allows(self.accelerators, used.accelerators, more.accelerators)
    }

    /// What may be used in addition to `used`; 0 where the limit is reached or exceeded, `u64::MAX` where there is none.
    #[must_use]
    pub fn headroom(self, used: Size) -> Size {
        let left = |limit: Option<u64>, used: u64| {
            limit.map_or(u64::MAX, |limit| limit.saturating_sub(used))
        };
        Size::new(
            left(self.millicores, used.millicores),
            left(self.memory_mib, used.memory_mib),
            left(self.accelerators, used.accelerators),
        )
    }
}

impl From<Size> for Limit {
    /// The limit that a configuration states, where a component of 0 is not limited.
    fn from(size: Size) -> Self {
        let limit = |amount: u64| (amount > 0).then_some(amount);
        Self {
            millicores: limit(size.millicores),
            memory_mib: limit(size.memory_mib),
            accelerators: limit(size.accelerators),
        }
    }
}

/// What a pool uses and needs of a customer's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaDemand {
    /// The customer.
    pub customer: CustomerId,
    /// Resources that its tasks use in this pool, including those that may still run.
    pub used: Size,
    /// Resources that its waiting tasks need in addition, as far as the pool has room for them.
    pub wanted: Size,
    /// The largest amount that has to be available at once: a task, or all members of a gang.
    pub largest: Size,
}
