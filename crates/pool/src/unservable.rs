//! Unservable jobs: jobs that the pool can no longer run with the workers it has.
//!
//! A pool that loses workers may become too small for some of its jobs: a gang of eight with seven workers left, or a label
//! that no worker has any more. Such a job would wait forever in its pool, while another pool has the workers. So a job is
//! transferred to another pool if none of its tasks runs and the pool's workers could not run one of its steps even if
//! they were empty.

use std::sync::Arc;

use crate::fit;
use crate::job::{Job, Step};
use crate::pool::Pool;
use crate::progress::Progress;
use crate::task::{JobId, Ms, Task, TaskKey, WorkerId};
use crate::worker::Worker;

/// Time for which a job has to be unservable before it is transferred: workers that crash are back after a few seconds,
/// and after an outage of the store it takes two seconds until all workers are registered.
const UNSERVABLE_DELAY: Ms = 3_000;
/// Minimum time between two scans of all jobs.
const SCAN_INTERVAL: Ms = 500;

impl Pool {
    /// Jobs that should be transferred to another pool. None of their tasks is started here until the transfer is cancelled
    /// with [`Pool::cancel_transfer`] or completed with [`Pool::remove_transferred`].
    pub fn unservable_jobs(&mut self, now: Ms) -> Vec<JobId> {
        if now < self.scanned_at + SCAN_INTERVAL
            || !self.has_quorum(now)
            || !self.unconfirmed_workers.is_empty()
            || !self.partly_read_workers.is_empty()
        {
            return Vec::new();
        }
        self.scanned_at = now;
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let unservable = self.jobs.get(&id).is_some_and(|live| {
                !live.state.is_final() && live.awaited_workers == 0 && live.is_idle() && {
                    let job = &live.job;
                    let left = live.steps_left();
                    left.iter().any(|&step| !self.could_run(job, step))
                }
            });
            if let Some(live) = self.jobs.get_mut(&id) {
                let since = live.unservable_since.unwrap_or(now);
                live.unservable_since = unservable.then_some(since);
                live.transferring |= unservable && now.saturating_sub(since) >= UNSERVABLE_DELAY;
            }
        }
        let transferring = self.jobs.iter().filter(|(_, live)| live.transferring);
        transferring.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Whether the pool's workers could run a step if they were empty.
    fn could_run(&self, job: &Job, step: usize) -> bool {
        let Some(step) = job.steps.get(step) else {
            return true;
        };
        let all_at_once = step.gang || step.long_running;
        let required = if all_at_once { step.count } else { 1 };
        let mut fitting = 0;
        for worker in self.workers.values() {
            let present = worker.registered || worker.fenced && !worker.unresponsive;
            if present && worker.leaves_at.is_none() && fit::is_eligible(worker, &job.service, step)
            {
                fitting += fitting_when_empty(worker, step);
                if fitting >= required {
                    return true;
                }
            }
        }
        false
    }

    /// Begins the write that transfers a job: returns the job and its progress, if it is still to be transferred and none of its
    /// tasks runs here. Until the outcome is known, the job may be in another pool, and nothing about it is stored or reported.
    pub fn begin_transfer(&mut self, id: &str) -> Option<(Arc<Job>, Progress)> {
        let live = self.jobs.get(id)?;
        if !live.transferring || !live.is_idle() || live.state.is_final() {
            return None;
        }
        self.transfers_in_doubt.insert(Arc::clone(&live.job.id));
        Some((Arc::clone(&live.job), live.progress()))
    }

    /// Records that the job is still in this pool: the write that transfers it has certainly not taken effect.
    pub fn transfer_failed(&mut self, id: &str) {
        self.transfers_in_doubt.remove(id);
    }

    /// Whether the job may be in another pool, because the outcome of its transfer isn't known.
    #[must_use]
    pub fn is_transfer_in_doubt(&self, id: &str) -> bool {
        self.transfers_in_doubt.contains(id)
    }

    /// The jobs that may be in other pools.
    #[must_use]
    pub fn transfers_in_doubt(&self) -> Vec<JobId> {
        self.transfers_in_doubt.iter().cloned().collect()
    }

    /// Keeps a job in this pool after all: its caller has cancelled it, or no other pool can take it.
    pub fn cancel_transfer(&mut self, id: &str) {
        self.transfers_in_doubt.remove(id);
        if let Some(live) = self.jobs.get_mut(id) {
            live.transferring = false;
            live.unservable_since = None;
        }
    }

    /// Removes a job that is now in another pool. Information about it that arrives later is outdated and ignored.
    pub fn remove_transferred(&mut self, id: &JobId) {
        let live = self.jobs.get(id);
        let runs: Vec<(TaskKey, WorkerId)> = live.map_or_else(Vec::new, |live| {
            let run =
                |(key, task): (TaskKey, &Task)| Some((key, Arc::clone(&task.run.as_ref()?.worker)));
            live.tasks().filter_map(run).collect()
        });
        for (key, worker) in runs {
            self.release_capacity(&key, &worker);
        }
        self.jobs.remove(id);
        self.transfers_in_doubt.remove(id);
        self.open_steps.retain(|key| key.job != *id);
        self.open_queries.retain(|key| key.job != *id);
        self.overdue_queries.retain(|key| key.job != *id);
        self.scheduled_jobs.remove(id);
        self.dirty.remove(id);
        self.rejected_rows.remove(id);
        self.transferred_jobs.insert(Arc::clone(id));
    }
}

/// How many tasks of a step the worker could run if it were empty.
fn fitting_when_empty(worker: &Worker, step: &Step) -> u32 {
    let fitting = fit::count_fitting(step.demand(), worker.info.capacity);
    if step.per_worker > 0 {
        fitting.min(step.per_worker)
    } else {
        fitting
    }
}
