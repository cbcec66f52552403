//! Load of a pool, for metrics, logs and other hosts.

use std::collections::{BTreeMap, BTreeSet};

use crate::pool::Pool;
use crate::service_capacity::ServiceCapacity;
use crate::task::StageKey;

/// Load of a pool.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Share of its processors that is used.
    pub used: f64,
    /// The same share with the demand of the waiting tasks of open steps added; may exceed 1.
    pub demand: f64,
    /// Number of open steps.
    pub open_steps: usize,
    /// Labels of its workers, without their racks.
    pub labels: Vec<String>,
    /// Total and used capacity of the workers of each service.
    pub services: BTreeMap<String, ServiceCapacity>,
}

impl Pool {
    /// The current load of the pool.
    #[must_use]
    pub fn load(&self) -> Load {
        let (mut used, mut total) = (0, 0);
        let mut labels = BTreeSet::new();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            used += worker.used.millicores;
            total += worker.info.capacity.millicores;
            let labels_of_worker = worker.info.labels.iter();
            labels.extend(labels_of_worker.filter(|label| **label != worker.info.rack));
        }
        let waiting: u64 = self
            .open_steps
            .iter()
            .map(|key| self.waiting_millicores(key))
            .sum();
        let share = |part: u64| part as f64 / total.max(1) as f64;
        Load {
            used: share(used),
            demand: share(used + waiting),
            open_steps: self.open_steps.len(),
            labels: labels.into_iter().cloned().collect(),
            services: self.service_capacities().into_iter().collect(),
        }
    }

    /// Millicores that the waiting tasks of a step would take: those that are neither done nor have a run.
    fn waiting_millicores(&self, key: &StageKey) -> u64 {
        let (Some(stage), Some(size)) = (self.stage(key), self.size(key)) else {
            return 0;
        };
        stage.waiting_count() as u64 * size.millicores
    }
}
