//! Cancellations of jobs in the simulation, and runs that outlive them.

use std::sync::Arc;

use pool::{Ms, Pool, TaskKey, WorkerId};

use super::Simulation;

/// Time within which the tasks of a cancelled job no longer start.
const CANCEL_DEADLINE: Ms = 3_000;

impl Simulation {
    /// Stores the cancellation of a job. The owners follow the cancellations as they follow the jobs.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.cancelled.insert(id.to_owned(), self.now);
        let unix = self.unix();
        for owner in self.owners.iter_mut().filter(|owner| !owner.stopped) {
            owner.pool.cancel(unix, id);
        }
    }

    /// A new owner reads the jobs and the cancellations. A cancellation is listed before its job.
    pub(super) fn load_jobs(&self, pool: &mut Pool) {
        pool.set_jobs_incomplete(self.now, true);
        for id in self.cancelled.keys() {
            pool.cancel(self.unix(), id);
        }
        for job in self.jobs.values() {
            let progress = self.stored.get(&*job.id);
            pool.adopt(self.now, self.unix(), Arc::clone(job), progress, true);
        }
    }

    /// Records a violation if a task starts although its job was cancelled some time ago.
    pub(super) fn check_not_cancelled(&mut self, key: &TaskKey) {
        let cancelled_at = self.cancelled.get(&*key.stage.job);
        if cancelled_at.is_some_and(|at| self.now > at + CANCEL_DEADLINE) {
            let violation = format!("{}: {key:?} started after its job was cancelled", self.now);
            self.violations.push(violation);
        }
    }

    /// From now on all owners reach all workers.
    pub(crate) fn reconnect(&mut self) {
        for worker in self.workers.values_mut() {
            worker.disconnected_owners.clear();
        }
    }

    /// The runs of cancelled jobs on all workers.
    pub(crate) fn runs_of_cancelled_jobs(&self) -> Vec<(WorkerId, TaskKey)> {
        let mut runs = Vec::new();
        for (id, worker) in &self.workers {
            for key in worker.runs.keys() {
                if self.cancelled.contains_key(&*key.stage.job) {
                    runs.push((Arc::clone(id), key.clone()));
                }
            }
        }
        runs
    }
}
