//! Final states of jobs, and the stops that follow from them.

use std::sync::Arc;

use crate::pool::Pool;
use crate::state::State;
use crate::task::{JobId, Ms, Phase, StageKey, TaskKey, WorkerId};

/// Time after which a run of a finished job is reported as overdue; a stop may need a second attempt.
const STOP_OVERDUE_AFTER: Ms = 2_000;

/// A run of a job in a final state that has not stopped in time.
#[derive(Clone, Debug)]
pub struct OverdueRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker that has the run.
    pub worker: WorkerId,
    /// Since when the job has its final state, in milliseconds.
    pub since: Ms,
    /// Whether the owner is stopping the run.
    pub stopping: bool,
    /// Whether the worker has answered the latest poll.
    pub responsive: bool,
}

impl Pool {
    /// Cancels a job. Returns the number of its runs that are to be stopped, or `None` if it was over already or isn't known. If
    /// jobs may be missing, an unknown job is cancelled as soon as it is added.
    pub fn cancel(&mut self, unix: u64, id: &str) -> Option<usize> {
        let Some(live) = self.jobs.get(id) else {
            if self.jobs_incomplete {
                self.early_cancels.insert(id.into());
            }
            return None;
        };
        if live.state.is_final() {
            return None;
        }
        let id = Arc::clone(&live.job.id);
        Some(self.finalize_job(unix, &id, State::Cancelled))
    }

    /// Gives a job a final state and stops its runs; returns how many there are.
    pub(crate) fn finalize_job(&mut self, unix: u64, id: &JobId, state: State) -> usize {
        let Some(live) = self.jobs.get_mut(id) else {
            return 0;
        };
        live.state = state;
        live.closed = unix;
        let mut running = Vec::new();
        for (&number, occurrence) in &mut live.open {
            for (step, stage) in occurrence.stages.iter_mut().enumerate() {
                let key = StageKey {
                    job: Arc::clone(id),
                    occurrence: number,
                    step: step as u16,
                };
                for (index, task) in stage.tasks.iter_mut().enumerate() {
                    if let Some(run) = &mut task.run {
                        run.phase = Phase::Stopping;
                        run.stop_sent = 0;
                        running.push(key.task(index as u32));
                    }
                }
                self.open_steps.remove(&key);
            }
        }
        let runs = running.len();
        self.unconfirmed_runs.extend(running);
        self.scheduled_jobs.remove(id);
        self.mark_dirty(id);
        runs
    }

    /// Runs of jobs that have had a final state for some time, on any worker, as far as workers have reported them or this
    /// owner assumes them.
    #[must_use]
    pub fn overdue_runs(&self, unix: u64) -> Vec<OverdueRun> {
        let mut overdue = Vec::new();
        for worker in self.workers.values() {
            let orphans = worker.orphaned_runs.iter();
            let orphans = orphans.map(|(key, orphan)| (key, orphan.run, orphan.stop_sent > 0));
            let current = worker.runs.iter().map(|(key, &run)| {
                let stage = self.stage(&key.stage);
                let task = stage.and_then(|stage| stage.tasks.get(key.index as usize));
                let phase = task.and_then(|task| task.run.as_ref()).map(|it| it.phase);
                (key, run, phase == Some(Phase::Stopping))
            });
            for (key, run, stopping) in current.chain(orphans) {
                let Some(live) = self.jobs.get(&key.stage.job) else {
                    continue;
                };
                let since = unix.saturating_sub(live.closed);
                if live.state.is_final() && since > STOP_OVERDUE_AFTER {
                    overdue.push(OverdueRun {
                        task: key.clone(),
                        run,
                        worker: Arc::clone(&worker.id),
                        since,
                        stopping,
                        responsive: worker.is_responsive(),
                    });
                }
            }
        }
        overdue
    }
}
