//! How loaded a pool is.

use std::collections::{BTreeMap, BTreeSet};

use crate::pool::Pool;
use crate::scarce::Scarce;
use crate::task::StageKey;

/// How loaded a pool is.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Share of its processors that is taken.
    pub used: f64,
    /// The same with what the waiting tasks of open steps would take.
    pub taken: f64,
    /// Open steps.
    pub steps: usize,
    /// Labels of its workers other than their racks.
    pub labels: Vec<String>,
    /// Room of each service's workers, and what of it is taken.
    pub services: BTreeMap<String, Scarce>,
}

impl Pool {
    /// How loaded the pool is.
    #[must_use]
    pub fn load(&self) -> Load {
        let (mut used, mut room) = (0, 0);
        let mut labels = BTreeSet::new();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            used += worker.used.millicores;
            room += worker.info.capacity.millicores;
            let own = worker.info.labels.iter();
            labels.extend(own.filter(|label| **label != worker.info.rack));
        }
        let waits: u64 = self.open.iter().map(|key| self.waiting(key)).sum();
        let share = |part: u64| part as f64 / room.max(1) as f64;
        Load {
            used: share(used),
            taken: share(used + waits),
            steps: self.open.len(),
            labels: labels.into_iter().cloned().collect(),
            services: self.scarce().into_iter().collect(),
        }
    }

    /// Millicores that the tasks of a step which have no run would take.
    fn waiting(&self, key: &StageKey) -> u64 {
        let (Some(stage), Some(size)) = (self.stage(key), self.size(key)) else {
            return 0;
        };
        let tasks = stage
            .tasks
            .iter()
            .filter(|task| !task.done && task.run.is_none());
        tasks.count() as u64 * size.millicores
    }
}
