//! Jobs that the pool can't serve any more.
//!
//! Answers the loss of workers in a pool that is small for what its jobs ask: a gang of eight for which seven workers are
//! left, a label that no worker has any more. In its pool the job would wait for good, while another pool has the workers.
//! So a job of which nothing runs, and a step of which the pool's workers could not take even if they were empty, goes
//! to another pool.

use std::sync::Arc;

use crate::fit;
use crate::job::{Job, Step};
use crate::pool::Pool;
use crate::progress::Progress;
use crate::task::{JobId, Ms};
use crate::worker::Worker;

/// A job has to be out of the pool's reach for this long: workers that crash are back after some seconds, and after an
/// outage of the store it takes two seconds until all are listed.
const PATIENCE: Ms = 3_000;
/// Time between two looks at all jobs.
const LOOK: Ms = 500;

impl Pool {
    /// Jobs that should go to another pool. From now on nothing of them is started here, until [`Pool::keep`] or
    /// [`Pool::transferred`] says what became of them.
    pub fn misfits(&mut self, now: Ms) -> Vec<JobId> {
        if now < self.sought + LOOK || !self.proved(now) || !self.unseen.is_empty() {
            return Vec::new();
        }
        self.sought = now;
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let out = self.jobs.get(&id).is_some_and(|live| {
                !live.state.is_final() && live.awaited_workers == 0 && live.is_idle() && {
                    let job = &live.job;
                    let left = live.steps_left();
                    left.iter().any(|&step| !self.could_serve(job, step))
                }
            });
            if let Some(live) = self.jobs.get_mut(&id) {
                let since = live.unservable_since.unwrap_or(now);
                live.unservable_since = out.then_some(since);
                live.transferring |= out && now.saturating_sub(since) >= PATIENCE;
            }
        }
        let leaving = self.jobs.iter().filter(|(_, live)| live.transferring);
        leaving.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Whether the pool's workers could take a step if nothing else ran there.
    fn could_serve(&self, job: &Job, step: usize) -> bool {
        let Some(step) = job.steps.get(step) else {
            return true;
        };
        let together = step.gang || step.long_running;
        let need = if together { step.count } else { 1 };
        let mut room = 0;
        for worker in self.workers.values() {
            let there = worker.registered || worker.fenced && !worker.unresponsive;
            if there && worker.leaves_at.is_none() && fit::allowed(worker, &job.service, step) {
                room += takes(worker, step);
                if room >= need {
                    return true;
                }
            }
        }
        false
    }

    /// A job's course, if it still should go and nothing of it runs here.
    #[must_use]
    pub fn transferable(&self, id: &str) -> Option<(Arc<Job>, Progress)> {
        let live = self.jobs.get(id)?;
        let ready = live.transferring && live.is_idle() && !live.state.is_final();
        ready.then(|| (Arc::clone(&live.job), live.progress()))
    }

    /// The job stays: its caller took it back, or no other pool is left for it.
    pub fn keep(&mut self, id: &str) {
        if let Some(live) = self.jobs.get_mut(id) {
            live.transferring = false;
            live.unservable_since = None;
        }
    }

    /// The job is in another pool now. What is told of it later is older than that.
    pub fn transferred(&mut self, id: &JobId) {
        self.jobs.remove(id);
        self.open.retain(|key| key.job != *id);
        self.asking.retain(|key| key.job != *id);
        self.overdue.retain(|key| key.job != *id);
        self.timed.remove(id);
        self.dirty.remove(id);
        self.given.insert(Arc::clone(id));
    }
}

/// How many tasks of a step the empty worker would take.
fn takes(worker: &Worker, step: &Step) -> u32 {
    let fits = fit::times(step.demand(), worker.info.capacity);
    if step.per_worker > 0 {
        fits.min(step.per_worker)
    } else {
        fits
    }
}
