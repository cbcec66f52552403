//! Ends of runs whose jobs aren't known, and jobs that become known after their runs and ends were reported.

use std::sync::Arc;

use crate::pool::Pool;
use crate::report::{RunStatus, WorkerReport};
use crate::task::{JobId, Ms, TaskKey, WorkerId};

/// A run of an unknown job is stopped after this time, and the end of such a run is skipped. The row of a job may reach this
/// owner after the report of its run: usually by a few milliseconds, but by seconds while the store has problems.
pub(crate) const UNKNOWN_JOB_TIMEOUT: Ms = 3_000;

/// Reported ends of runs whose jobs aren't known.
#[derive(Clone, Debug)]
pub(crate) struct UnknownEnds {
    /// Number of the first such end.
    pub first: u64,
    /// Since when it has been the first one.
    pub since: Ms,
    /// Jobs of these ends.
    pub jobs: Vec<JobId>,
}

/// What became of ends of unknown jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownEndsChange {
    /// They were reported, and nothing from the first of them on is acknowledged.
    HeldBack,
    /// The first of them was skipped: its job hasn't become known in time.
    Skipped,
}

impl UnknownEndsChange {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::HeldBack => "held_back",
            Self::Skipped => "skipped",
        }
    }
}

/// A worker has reported ends of unknown jobs.
#[derive(Clone, Debug)]
pub struct UnknownEndsEvent {
    /// The worker.
    pub worker: WorkerId,
    /// What became of them.
    pub change: UnknownEndsChange,
    /// Job of the first of them.
    pub job: JobId,
    /// Number of the first of them.
    pub first: u64,
    /// Time since it was first reported, in milliseconds.
    pub since: Ms,
    /// Whether jobs of a former owner may still be missing.
    pub jobs_incomplete: bool,
}

impl Pool {
    /// Applies new ends. An end of an unknown job, and all ends after it, are not acknowledged: the row of the job is still to
    /// come, and an end that was skipped would be lost. The later ends are applied nevertheless. The same holds for a job whose
    /// transfer is in doubt, which is not stored here until the outcome is known.
    pub(crate) fn apply_ends(&mut self, now: Ms, unix: u64, id: &WorkerId, report: &WorkerReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let applied = worker.ends_applied;
        let last_listed = report.ended.iter().map(|end| end.number).max();
        worker.last_listed_end = worker.last_listed_end.max(last_listed.unwrap_or(0));
        let previous = worker.unknown_ends.take();
        let mut out_of_order = std::mem::take(&mut worker.applied_out_of_order);
        let mut unknown: Option<UnknownEnds> = None;
        for end in report.ended.iter().filter(|end| end.number > applied) {
            let job = &end.task.stage.job;
            let in_doubt = self.is_transfer_in_doubt(job);
            if in_doubt || !self.jobs.contains_key(job) {
                let is_same = |previous: &&UnknownEnds| previous.first == end.number;
                let since = previous.as_ref().filter(is_same).map(|it| it.since);
                let found = unknown.get_or_insert_with(|| UnknownEnds {
                    first: end.number,
                    since: since.unwrap_or(now),
                    jobs: Vec::new(),
                });
                let waited = now.saturating_sub(found.since);
                let is_first = found.first == end.number;
                let in_time = self.jobs_incomplete || waited < UNKNOWN_JOB_TIMEOUT;
                // Skipping a later one would acknowledge the first one too.
                let held_back = in_doubt || in_time || !is_first;
                let is_new = is_first && since.is_none();
                if is_new || !held_back {
                    self.unknown_ends_events.push(UnknownEndsEvent {
                        worker: Arc::clone(id),
                        change: if held_back {
                            UnknownEndsChange::HeldBack
                        } else {
                            UnknownEndsChange::Skipped
                        },
                        job: Arc::clone(job),
                        first: end.number,
                        since: waited,
                        jobs_incomplete: self.jobs_incomplete,
                    });
                }
                if held_back {
                    found.jobs.push(Arc::clone(job));
                    continue;
                }
                unknown = None;
            }
            if !out_of_order.remove(&end.number) {
                self.apply_end(now, unix, id, end);
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unstored_ends.insert(end.number, Arc::clone(job));
                }
            }
            if unknown.is_some() {
                out_of_order.insert(end.number);
            } else if let Some(worker) = self.workers.get_mut(id) {
                worker.ends_applied = end.number;
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.applied_out_of_order = out_of_order;
            worker.unknown_ends = unknown;
        }
        if !self.rejected_rows.is_empty() {
            self.find_rejected_ends();
        }
    }

    /// Handles a job that has become known after workers may already have reported runs and ends of it. It adopts these runs, and
    /// starts nothing before the ends have been reported again.
    ///
    /// The former owner may have started the job just before it was fenced, while the row of the job reached this owner after
    /// the workers' reports. Without this, the job would be started a second time next to the first.
    pub(crate) fn adopt_observed_runs(&mut self, now: Ms, job: &JobId) {
        let mut runs = Vec::new();
        let mut awaited = Vec::new();
        for worker in self.workers.values() {
            let of_job = |key: &&TaskKey| key.stage.job == *job;
            for key in worker.orphaned_runs.keys().filter(of_job) {
                let run = worker.orphaned_runs.get(key).map_or(0, |orphan| orphan.run);
                runs.push((Arc::clone(&worker.id), key.clone(), run));
            }
            if worker
                .unknown_ends
                .as_ref()
                .is_some_and(|unknown| unknown.jobs.contains(job))
            {
                awaited.push(Arc::clone(&worker.id));
            }
        }
        for (worker, task, run) in runs {
            let row = RunStatus {
                task,
                run,
                checkpoint: String::new(),
                percent: 0,
                load: 0,
            };
            self.observe_run(now, &worker, &row);
        }
        if let Some(live) = self.jobs.get_mut(job) {
            live.awaited_workers = awaited.len();
        }
        for worker in awaited {
            self.jobs_awaiting_worker
                .entry(worker)
                .or_default()
                .push(Arc::clone(job));
        }
    }

    /// Ends the wait of jobs for a worker that has listed its ends again, or whose lease has lapsed.
    pub(crate) fn end_waits_for(&mut self, id: &WorkerId) {
        for job in self.jobs_awaiting_worker.remove(id).unwrap_or_default() {
            if let Some(live) = self.jobs.get_mut(&job) {
                live.awaited_workers = live.awaited_workers.saturating_sub(1);
            }
        }
    }

    /// Returns and clears what has become of ends of unknown jobs since the last call.
    pub fn take_unknown_ends_events(&mut self) -> Vec<UnknownEndsEvent> {
        std::mem::take(&mut self.unknown_ends_events)
    }
}
