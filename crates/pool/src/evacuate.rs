//! What runs on a worker that is about to leave.
//!
//! Answers the loss of work when workers are taken away. A worker that leaves ends all that runs there. Tasks that last are
//! moved as soon as another worker has room, since they could never end in time. Tasks that save their progress are
//! stopped just before the worker leaves, so that nothing is lost but the stop itself. Other tasks go on: the worker often
//! stays longer than it says, and a stop would lose their work for certain.

use std::sync::Arc;

use crate::fit;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::task::{Ms, Phase, TaskKey, WorkerId};

/// Time for a stop to arrive and be carried out, beside the grace that the worker gives.
const SLACK: Ms = 700;

impl Pool {
    /// Stops what has to leave workers that are about to leave.
    pub(crate) fn evacuate(&mut self, now: Ms) {
        if !self.has(Mechanism::Evacuation) {
            return;
        }
        let leaving: Vec<(WorkerId, Ms)> = self
            .workers
            .values()
            .filter_map(|worker| Some((Arc::clone(&worker.id), worker.leaves_at?)))
            .collect();
        for (id, leaves) in leaving {
            let last_call = now + self.options.stop_grace + SLACK >= leaves;
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let keys: Vec<TaskKey> = worker
                .runs
                .keys()
                .filter(|key| self.must_leave(now, key, last_call))
                .cloned()
                .collect();
            for key in keys {
                self.stop_run(&key);
            }
        }
    }

    fn must_leave(&self, now: Ms, key: &TaskKey, last_call: bool) -> bool {
        let Some(live) = self.jobs.get(&key.stage.job) else {
            return false;
        };
        let Some(step) = live.job.steps.get(usize::from(key.stage.step)) else {
            return false;
        };
        let runs = self
            .stage(&key.stage)
            .and_then(|stage| stage.tasks.get(key.index as usize)?.run.as_ref())
            .is_some_and(|run| run.phase == Phase::Running);
        if !runs || step.gang {
            return false;
        }
        if step.long_running {
            let room = |worker: &&crate::Worker| {
                fit::allowed(worker, &live.job.service, step)
                    && worker.accepts_starts(now)
                    && step.demand().fits(worker.free_capacity())
            };
            return last_call || self.workers.values().any(|worker| room(&worker));
        }
        step.checkpoints && last_call
    }
}
