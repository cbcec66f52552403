//! Capacity of the workers of each service, and which of its dimensions is scarce.
//!
//! Where workers have accelerators, most of those may be taken while processors are free. Measured in processors alone,
//! work that needs eight accelerators looks as small as work that needs two, and tasks with one accelerator are placed on
//! workers whose accelerators are all free. Which dimension is scarce follows from the present use, not from a setting.

use resource::Size;
use rustc_hash::FxHashMap;

use crate::mechanism::Mechanism;
use crate::pool::Pool;

/// Weight of a dimension of which nothing is used, relative to one that is full.
const IDLE_WEIGHT: f64 = 0.05;

/// Total and used capacity of the workers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceCapacity {
    /// Capacity of all workers.
    pub total: Size,
    /// The part of it that is used.
    pub used: Size,
    /// The most free capacity of any worker, by component: a task that doesn't fit into it fits on no worker.
    pub largest_free: Size,
}

/// The dimensions of an amount: processors, memory, accelerators.
fn dimensions(size: Size) -> [f64; 3] {
    [size.millicores, size.memory_mib, size.accelerators].map(|part| part as f64)
}

/// Ratio of a part to the whole; 0 if the whole is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

impl ServiceCapacity {
    /// Dominant share of an amount: its share of the total capacity in the dimension in which that is largest.
    ///
    /// ```
    /// use pool::service_capacity::ServiceCapacity;
    /// use resource::Size;
    ///
    /// let all = ServiceCapacity { total: Size::new(32_000, 64_000, 8), ..ServiceCapacity::default() };
    /// let (four, two) = (Size::new(4_000, 1_000, 4), Size::new(12_000, 1_000, 2));
    /// assert!(all.dominant_share(four) > all.dominant_share(two), "a half of the accelerators, three eighths of the processors");
    /// ```
    #[must_use]
    pub fn dominant_share(&self, size: Size) -> f64 {
        let total = dimensions(self.total);
        let shares = dimensions(size)
            .into_iter()
            .zip(total)
            .map(|(part, whole)| ratio(part, whole));
        shares.fold(0.0, f64::max)
    }

    /// Free share of a worker's capacity, between 0 and 1. Each dimension is weighted by its used share on all workers.
    #[must_use]
    pub fn weighted_free_share(&self, free: Size, capacity: Size) -> f64 {
        let (total, used) = (dimensions(self.total), dimensions(self.used));
        let (free, capacity) = (dimensions(free), dimensions(capacity));
        let (mut sum, mut weighted) = (0.0, 0.0);
        for dimension in 0..total.len() {
            if total[dimension] > 0.0 && capacity[dimension] > 0.0 {
                let weight = ratio(used[dimension], total[dimension]) + IDLE_WEIGHT;
                sum += weight;
                weighted += weight * free[dimension] / capacity[dimension];
            }
        }
        ratio(weighted, sum)
    }
}

impl Pool {
    /// Total and used capacity of the registered workers, by service.
    pub(crate) fn service_capacities(&self) -> FxHashMap<String, ServiceCapacity> {
        let mut services: FxHashMap<String, ServiceCapacity> = FxHashMap::default();
        let all_dimensions = self.has(Mechanism::Scarcity);
        let counted = |size: Size| {
            if all_dimensions {
                size
            } else {
                Size::new(size.millicores, 0, 0)
            }
        };
        for worker in self.workers.values().filter(|worker| worker.registered) {
            let info = &worker.info;
            if !services.contains_key(&info.service) {
                services.insert(info.service.clone(), ServiceCapacity::default());
            }
            if let Some(service) = services.get_mut(&info.service) {
                service.total = service.total.plus(counted(info.capacity));
                service.used = service.used.plus(counted(worker.used));
                service.largest_free = service.largest_free.max_each(worker.free_capacity());
            }
        }
        services
    }
}
