//! Runs that workers lost: they are over, but no end was reported.

use std::sync::Arc;

use crate::crash::CrashRecord;
use crate::pool::Pool;
use crate::report::WorkerReport;
use crate::task::{Ms, Phase, TaskKey, WorkerId};

/// How a worker lost a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The worker answered with a new incarnation.
    Restarted,
    /// The worker did not answer before its lease expired.
    Lapsed,
    /// The same incarnation answered and reported neither the run nor its end.
    Missing,
}

impl Loss {
    /// Short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Lapsed => "lapsed",
            Self::Missing => "missing",
        }
    }
}

/// A run that was lost by its worker.
#[derive(Clone, Debug)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker that lost the run.
    pub worker: WorkerId,
    /// How it was lost.
    pub loss: Loss,
    /// Whether the start command was answered or the run was reported.
    pub confirmed: bool,
    /// Minimum time that the worker was up with the run, in milliseconds: from the start command to the latest poll that was
    /// answered.
    pub survived: Ms,
    /// Number of runs that the worker had, including this one.
    pub runs: usize,
    /// Whether the worker had been up for some time when the start command was sent.
    pub steady: bool,
    /// Whether the loss was recorded as a crash of the task.
    pub crash: CrashRecord,
    /// Number of crash records of the task, including this one.
    pub crashes: usize,
    /// Number of those that aren't stored.
    pub unstored: usize,
}

impl Pool {
    /// Returns and clears the runs lost since the last call.
    pub fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }

    /// Records the loss of a task's current run for the log, and as a crash of the task if the run may be the cause.
    pub(crate) fn record_loss(&mut self, now: Ms, key: &TaskKey, loss: Loss) {
        let Some(run) = self.task_mut(key).and_then(|task| task.run.as_ref()) else {
            return;
        };
        let (number, id, requested_at) = (run.number, Arc::clone(&run.worker), run.requested_at);
        let confirmed = !matches!(run.phase, Phase::Starting | Phase::Unconfirmed);
        let steady = run.worker_was_steady;
        let Some(worker) = self.workers.get(&id) else {
            return;
        };
        let survived = worker.last_poll_before(loss).saturating_sub(requested_at);
        let runs = worker.runs.len();
        let crash = self.record_crash(now, key, loss);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let (crashes, unstored) = (task.crashed.len(), task.unstored_crashes());
        self.lost_runs.push(LostRun {
            task: key.clone(),
            run: number,
            worker: id,
            loss,
            confirmed,
            survived,
            runs,
            steady,
            crash,
            crashes,
            unstored,
        });
    }

    /// Ends the runs that were lost when the worker restarted, given a report of the new incarnation.
    ///
    /// Either incarnation may have carried out a start command that was sent around the restart. A run that this report lists, as
    /// running or ended, is of the new one. One that it doesn't list was lost with the former incarnation if it was confirmed
    /// before the report was requested. If it was confirmed later, the next report tells. If it never was, the command may still
    /// reach the new incarnation, which has forgotten the epoch: the capacity stays reserved until a stop is confirmed there.
    pub(crate) fn end_runs_of_former_incarnation(
        &mut self,
        now: Ms,
        unix: u64,
        id: &WorkerId,
        report: &WorkerReport,
    ) {
        if report.is_truncated() {
            return;
        }
        self.resolve_starts(id, report);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let keys: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        let mut lost = Vec::new();
        for key in keys {
            let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) else {
                continue;
            };
            if !run.may_be_of_former_incarnation {
                continue;
            }
            let decided = run.confirmed_at.is_none_or(|at| report.requested_at > at);
            run.may_be_of_former_incarnation = !decided && !report.lists(&key, run.number);
            if decided && !report.lists(&key, run.number) {
                lost.push(key);
            }
        }
        for key in &lost {
            self.record_loss(now, key, Loss::Restarted);
        }
        for key in lost {
            let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) else {
                continue;
            };
            if run.confirmed_at.is_none() {
                run.phase = Phase::Stopping;
                run.stop_sent = 0;
                run.stop_confirmed = 0;
                self.unconfirmed_runs.insert(key);
            } else {
                self.end_run(now, &key, 0);
                self.complete_or_advance(now, unix, &key.stage.job, key.stage.occurrence);
            }
        }
    }
}
