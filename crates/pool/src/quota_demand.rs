//! What customers use and wait for, for the log and for the parts of limits among pools.

use resource::Size;

use crate::customer::{CustomerId, Limit};
use crate::task::StageKey;
use crate::timeline::WaitReason;

/// What a customer uses in this pool, and what it waits for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaDemand {
    /// The customer.
    pub customer: CustomerId,
    /// Resources in use.
    pub used: Size,
    /// Those of them that long-running tasks use.
    pub lasting: Size,
    /// Resources of the tasks of open steps that have no run.
    pub wanted: Size,
    /// Resources of the largest start that waits: a task, or a whole gang.
    pub largest: Size,
    /// What may be used in this pool.
    pub limit: Limit,
    /// The gang for which resources of the limit are reserved in this pool, with their amount.
    pub reserved: Option<(StageKey, Size)>,
    /// The most that may run on workers that haven't reported.
    pub unreported: Size,
    /// Number of waiting tasks by what they wait for, in the order of [`WaitReason::ALL`].
    pub waiting: [u64; WaitReason::ALL.len()],
}

impl QuotaDemand {
    /// The used share of the limit, in the component in which that is largest; above 1 after the limit has fallen below the use.
    #[must_use]
    pub fn used_share(&self) -> f64 {
        let (used, limit) = (self.used, self.limit);
        let parts = [
            (used.millicores, limit.millicores),
            (used.memory_mib, limit.memory_mib),
            (used.accelerators, limit.accelerators),
        ];
        let share = |(used, bound): (u64, Option<u64>)| Some(used as f64 / bound?.max(1) as f64);
        parts.into_iter().filter_map(share).fold(0.0, f64::max)
    }
}
