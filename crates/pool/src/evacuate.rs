//! Evacuation of workers that are about to leave.
//!
//! A worker that leaves ends all its runs. Long-running tasks are stopped as soon as another worker has capacity for them,
//! and at the latest just before the worker leaves, since they could never end in time. Tasks with checkpoints are stopped
//! just before the worker leaves, so that only the time of the stop is lost. Other tasks go on: the worker often stays longer
//! than it announced, and a stop would certainly lose their work.

use std::sync::Arc;

use crate::fit;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::task::{Ms, Phase, TaskKey, WorkerId};

/// Time for a stop to arrive and be carried out, in addition to the grace period that the worker gives a run.
const STOP_MARGIN: Ms = 700;

impl Pool {
    /// Stops the runs that have to be moved away from workers that are about to leave.
    pub(crate) fn evacuate(&mut self, now: Ms) {
        if !self.has(Mechanism::Evacuation) {
            return;
        }
        let leaving: Vec<(WorkerId, Ms)> = self
            .workers
            .values()
            .filter_map(|worker| Some((Arc::clone(&worker.id), worker.leaves_at?)))
            .collect();
        for (id, leaves_at) in leaving {
            let leaves_soon = now + self.options.stop_grace + STOP_MARGIN >= leaves_at;
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let keys: Vec<TaskKey> = worker
                .runs
                .keys()
                .filter(|key| self.must_move(now, key, leaves_soon))
                .cloned()
                .collect();
            for key in keys {
                self.stop_run(&key);
            }
        }
    }

    fn must_move(&self, now: Ms, key: &TaskKey, leaves_soon: bool) -> bool {
        let Some(live) = self.jobs.get(&key.stage.job) else {
            return false;
        };
        let Some(step) = live.job.steps.get(usize::from(key.stage.step)) else {
            return false;
        };
        let is_running = self
            .stage(&key.stage)
            .and_then(|stage| stage.tasks.get(key.index as usize)?.run.as_ref())
            .is_some_and(|run| run.phase == Phase::Running);
        if !is_running || step.gang {
            return false;
        }
        if step.long_running {
            let has_capacity = |worker: &&crate::Worker| {
                fit::is_eligible(worker, &live.job.service, step)
                    && worker.accepts_starts(now)
                    && step.demand().fits(worker.free_capacity())
            };
            return leaves_soon || self.workers.values().any(|worker| has_capacity(&worker));
        }
        step.checkpoints && leaves_soon
    }
}
