//! Batches of progress to be stored.

use std::sync::Arc;

use crate::pool::Pool;
use crate::progress::Progress;
use crate::state::State;
use crate::task::{JobId, WorkerId};
use crate::timeline::JobTimes;
use crate::worker::Worker;

/// Rows to be stored in one transaction, and the ends that workers may forget once they are stored.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Jobs with their progress.
    pub rows: Vec<(JobId, Progress)>,
    /// Workers with their incarnation and the number of the last end that these rows cover.
    pub ends: Vec<(WorkerId, u64, u64)>,
    /// Jobs whose final states were in no batch before.
    newly_final: Vec<JobId>,
    /// Whether the batch makes a job completed, failed or cancelled; callers wait for that.
    pub urgent: bool,
}

impl Pool {
    /// Whether there is progress to be stored.
    #[must_use]
    pub fn has_unstored(&self) -> bool {
        self.storable().next().is_some()
            || self
                .workers
                .values()
                .any(|worker| worker.ends_stored < worker.ends_applied)
    }

    /// Whether a caller waits for progress to be stored.
    #[must_use]
    pub fn urgent(&self) -> bool {
        self.storable().any(|id| {
            self.jobs
                .get(id)
                .is_some_and(|live| live.state.is_final() && !live.stored_state.is_final())
        })
    }

    /// Jobs whose progress can be stored. A job whose transfer is in doubt is left out: a final state stored here would be shown
    /// while another pool runs the job.
    fn storable(&self) -> impl Iterator<Item = &JobId> {
        let jobs = self.dirty.iter();
        jobs.filter(|id| !self.is_transfer_in_doubt(id))
    }

    /// Takes up to `max_jobs` jobs. The ends of a worker are covered up to the first one whose job is left over, or whose row was rejected.
    pub fn batch(&mut self, max_jobs: usize) -> Batch {
        let ids: Vec<JobId> = self.storable().take(max_jobs).cloned().collect();
        let mut batch = Batch::default();
        for id in ids {
            self.dirty.remove(&id);
            if let Some(live) = self.jobs.get_mut(&id) {
                live.dirty = false;
                batch.urgent |= live.state.is_final();
                let was_written =
                    std::mem::replace(&mut live.may_be_stored_as_final, live.state.is_final());
                if live.state.is_final() && !was_written {
                    batch.newly_final.push(Arc::clone(&id));
                }
                batch.rows.push((id, live.progress()));
            }
        }
        let covered = self
            .workers
            .values()
            .map(|worker| (worker, self.covered_end(worker, &batch.rows)));
        batch.ends = covered
            .filter(|(worker, end)| worker.ends_stored < *end)
            .map(|(worker, end)| (Arc::clone(&worker.id), worker.incarnation, end))
            .collect();
        batch
    }

    /// Number of the last end that a worker may forget once these rows, which were taken for a batch, are stored. A worker forgets all ends up
    /// to a number.
    fn covered_end(&self, worker: &Worker, rows: &[(JobId, Progress)]) -> u64 {
        let is_taken = |job: &JobId| rows.iter().any(|(id, _)| id == job);
        let is_left = |job: &JobId| {
            self.dirty.contains(job) || self.rejected_rows.contains(job) && !is_taken(job)
        };
        let first_left = worker.unstored_ends.iter().find(|(_, job)| is_left(job));
        let covered = first_left.map_or(u64::MAX, |(number, _)| number - 1);
        covered.min(worker.ends_applied)
    }

    /// Handles a stored batch: from now on callers see these states, and workers may forget these ends.
    pub fn batch_stored(&mut self, batch: &Batch) {
        for (id, progress) in &batch.rows {
            let Some(live) = self.jobs.get_mut(id) else {
                continue;
            };
            live.mark_stored(progress);
            self.rejected_rows.remove(id);
            let was_final = std::mem::replace(&mut live.stored_state, progress.state).is_final();
            if progress.state.is_final() && !was_final {
                self.record_job_times(id);
            }
        }
        for (id, incarnation, number) in &batch.ends {
            if let Some(worker) = self.workers.get_mut(id)
                && worker.incarnation == *incarnation
            {
                worker.ends_stored = worker.ends_stored.max(*number);
                worker.unstored_ends = worker.unstored_ends.split_off(&(number + 1));
            }
        }
        self.find_rejected_ends();
    }

    /// Records the summary of a job whose final state is stored, for the log.
    fn record_job_times(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get(id) else {
            return;
        };
        let summary = JobTimes {
            job: Arc::clone(id),
            queue: live.job.queue.clone(),
            state: live.state,
            took: live.closed.saturating_sub(live.job.accepted),
            objective: self.objective(live),
            closed: live.closed,
        };
        self.jobs_done.push(summary);
    }

    /// Returns and clears the summaries of the jobs whose final states were stored since the last call.
    pub fn take_jobs_done(&mut self) -> Vec<JobTimes> {
        std::mem::take(&mut self.jobs_done)
    }

    /// Handles a batch that the store refused: its final states are certainly not stored, unless an earlier batch stored them.
    pub fn batch_refused(&mut self, batch: &Batch) {
        for id in &batch.newly_final {
            if let Some(live) = self.jobs.get_mut(id) {
                live.may_be_stored_as_final = false;
            }
        }
    }

    /// Handles a batch that could not be stored: marks its jobs to be stored again.
    pub fn batch_failed(&mut self, batch: &Batch) {
        for (id, _) in &batch.rows {
            if let Some(live) = self.jobs.get_mut(id) {
                live.dirty = true;
                self.dirty.insert(Arc::clone(id));
            }
        }
    }

    /// Handles a batch whose rows the store rejects and would reject again. No batch contains these jobs until [`Pool::batch_failed`] marks
    /// them to be stored again, and nothing of them is started until they are stored: the ends of what started meanwhile couldn't be
    /// acknowledged, and would fill the lists of the workers.
    pub fn batch_rejected(&mut self, batch: &Batch) {
        for (id, _) in &batch.rows {
            if self.jobs.contains_key(id) {
                self.rejected_rows.insert(Arc::clone(id));
                self.dirty.remove(id);
            }
        }
        self.find_rejected_ends();
    }

    /// Determines which workers have listed ends whose progress the store rejects.
    pub(crate) fn find_rejected_ends(&mut self) {
        let rejected = &self.rejected_rows;
        for worker in self.workers.values_mut() {
            let mut jobs = worker.unstored_ends.values();
            worker.has_rejected_ends =
                !rejected.is_empty() && jobs.any(|job| rejected.contains(job));
        }
    }

    /// Removes jobs whose retention period has passed since they became final; returns them so that their rows can be deleted.
    pub fn remove_expired_jobs(&mut self, unix: u64) -> Vec<JobId> {
        let retention = self.options.retention;
        let expired: Vec<JobId> = self
            .jobs
            .values()
            .filter(|live| {
                live.stored_state.is_final()
                    && live.stored_state != State::Queued
                    && !live.dirty
                    && unix.saturating_sub(live.closed) > retention
                    && live.open.values().all(|occurrence| {
                        let mut tasks = occurrence.stages.iter().flat_map(|stage| &stage.tasks);
                        tasks.all(|task| task.run.is_none())
                    })
            })
            .map(|live| Arc::clone(&live.job.id))
            .collect();
        for id in &expired {
            self.jobs.remove(id);
            self.rejected_rows.remove(id);
        }
        expired
    }
}
