//! What is to be stored, in groups.

use std::sync::Arc;

use crate::pool::Pool;
use crate::progress::Progress;
use crate::state::State;
use crate::task::{JobId, WorkerId};
use crate::timeline::JobTimes;

/// What is stored in one transaction, and what may be forgotten elsewhere once it is.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Jobs with their progress.
    pub rows: Vec<(JobId, Progress)>,
    /// Workers with their life and the number of their last end that these rows cover.
    pub ends: Vec<(WorkerId, u64, u64)>,
    /// A job is completed, failed or cancelled with it: somebody waits for that.
    pub urgent: bool,
}

impl Pool {
    /// Whether something is to be stored.
    #[must_use]
    pub fn unsaved(&self) -> bool {
        !self.dirty.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.noted < worker.applied)
    }

    /// Whether somebody waits for something to be stored.
    #[must_use]
    pub fn urgent(&self) -> bool {
        self.dirty.iter().any(|id| {
            self.jobs
                .get(id)
                .is_some_and(|live| live.state.is_final() && !live.shown.is_final())
        })
    }

    /// Takes up to this many jobs. Ends are covered only if all jobs fit.
    pub fn batch(&mut self, most: usize) -> Batch {
        let ids: Vec<JobId> = self.dirty.iter().take(most).cloned().collect();
        let mut batch = Batch::default();
        for id in ids {
            self.dirty.remove(&id);
            if let Some(live) = self.jobs.get_mut(&id) {
                live.dirty = false;
                batch.urgent |= live.state.is_final();
                batch.rows.push((id, live.progress()));
            }
        }
        if self.dirty.is_empty() {
            batch.ends = self
                .workers
                .values()
                .filter(|worker| worker.noted < worker.applied)
                .map(|worker| (Arc::clone(&worker.id), worker.born, worker.applied))
                .collect();
        }
        batch
    }

    /// A batch is stored: callers may be told, and workers may forget.
    pub fn saved(&mut self, batch: &Batch) {
        for (id, progress) in &batch.rows {
            let Some(live) = self.jobs.get_mut(id) else {
                continue;
            };
            live.note_stored(progress);
            let told = std::mem::replace(&mut live.shown, progress.state).is_final();
            if progress.state.is_final() && !told {
                self.note_job(id);
            }
        }
        for (id, born, number) in &batch.ends {
            if let Some(worker) = self.workers.get_mut(id)
                && worker.born == *born
            {
                worker.noted = worker.noted.max(*number);
            }
        }
    }

    /// Notes the course of a job whose final state is stored, for the log.
    fn note_job(&mut self, id: &JobId) {
        let Some(live) = self.jobs.get(id) else {
            return;
        };
        let times = JobTimes {
            job: Arc::clone(id),
            queue: live.job.queue.clone(),
            state: live.state,
            took: live.closed.saturating_sub(live.job.accepted),
            objective: self.objective(live),
            closed: live.closed,
        };
        self.jobs_done.push(times);
    }

    /// Takes the courses of the jobs whose final states were stored since the last call.
    pub fn take_jobs_done(&mut self) -> Vec<JobTimes> {
        std::mem::take(&mut self.jobs_done)
    }

    /// A batch was not stored: its jobs are to be stored again.
    pub fn failed(&mut self, batch: &Batch) {
        for (id, _) in &batch.rows {
            self.mark_dirty(id);
        }
    }

    /// Forgets jobs that have been final for long; their rows may go.
    pub fn sweep(&mut self, unix: u64) -> Vec<JobId> {
        let remember = self.options.retention;
        let old: Vec<JobId> = self
            .jobs
            .values()
            .filter(|live| {
                live.shown.is_final()
                    && live.shown != State::Queued
                    && !live.dirty
                    && unix.saturating_sub(live.closed) > remember
                    && live.open.values().all(|course| {
                        let mut tasks = course.stages.iter().flat_map(|stage| &stage.tasks);
                        tasks.all(|task| task.run.is_none())
                    })
            })
            .map(|live| Arc::clone(&live.job.id))
            .collect();
        for id in &old {
            self.jobs.remove(id);
        }
        old
    }
}
