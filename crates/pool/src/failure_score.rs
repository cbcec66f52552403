//! Failure scores: evidence that runs fail because of the worker that they are on.

use std::sync::Arc;

use crate::fit::SUSPECT_SCORE;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::report::RunOutcome;
use crate::task::{Ms, Run, TaskKey, WorkerId};
use crate::worker::Worker;

/// A worker whose failure score reaches [`SUSPECT_SCORE`] gets no tasks for this long, then one at a time.
const SUSPECT_PAUSE: Ms = 2_000;
/// Added to a worker's failure score by the first failure of a task.
const FIRST_FAILURE_SCORE: f64 = 1.0;
/// Added by a failure of a task that has failed before: the task itself is the likelier cause.
const REPEATED_FAILURE_SCORE: f64 = 0.25;
/// Added by a task that stalls.
const STALL_SCORE: f64 = 1.5 * FIRST_FAILURE_SCORE;
/// Added by a start command that the worker refuses because it isn't healthy, or that reaches another worker.
const REFUSAL_SCORE: f64 = 0.5 * FIRST_FAILURE_SCORE;
/// Subtracted by a task that succeeds.
const SUCCESS_CREDIT: f64 = 0.6;

/// What a failure was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// A run ended as failed.
    Failed,
    /// A run made no progress.
    Stalled,
    /// A start command was refused because the worker isn't healthy, or reached another worker.
    Refused,
}

impl FailureCause {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Stalled => "stalled",
            Self::Refused => "refused",
        }
    }
}

/// A worker's failure score has reached [`SUSPECT_SCORE`], or has fallen below it.
#[derive(Clone, Debug)]
pub struct SuspicionChange {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure score now.
    pub score: f64,
    /// The failure that raised the score to the limit; `None` if a success has lowered it.
    pub cause: Option<FailureCause>,
    /// Number of runs that the worker has.
    pub runs: usize,
}

impl SuspicionChange {
    fn new(worker: &Worker, cause: Option<FailureCause>) -> Self {
        Self {
            worker: Arc::clone(&worker.id),
            score: worker.failure_score,
            cause,
            runs: worker.runs.len(),
        }
    }
}

impl Worker {
    /// Whether the worker's failure score has reached [`SUSPECT_SCORE`].
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.failure_score >= SUSPECT_SCORE
    }
}

impl Pool {
    /// Updates a worker's failure score and slowness, and the durations of the queue, after the end of a run.
    pub(crate) fn score_worker(
        &mut self,
        now: Ms,
        id: &WorkerId,
        outcome: RunOutcome,
        run: &Run,
        key: &TaskKey,
        long_running: bool,
    ) {
        let Some(live) = self.jobs.get(&key.stage.job) else {
            return;
        };
        let job = Arc::clone(&live.job);
        let Some(step) = job.steps.get(usize::from(key.stage.step)) else {
            return;
        };
        let other_failures = self.task_mut(key).map_or(0, |task| {
            task.failed
                .iter()
                .filter(|&&number| number != run.number)
                .count()
        });
        let duration = now.saturating_sub(run.requested_at);
        // Durations of best-effort tasks and gang members depend on other tasks, and the start of an adopted run, which has
        // no deadline, isn't known.
        let is_comparable = !step.best_effort && !step.gang && run.start_deadline > 0;
        if outcome == RunOutcome::Done && is_comparable && !long_running {
            self.queue_stats
                .record_duration(&job.queue, duration, step.estimate);
        }
        let expected = step.estimate as f64 * self.queue_stats.duration_ratio(&job.queue);
        let scoring = self.has(Mechanism::Doubt);
        match outcome {
            RunOutcome::Done => {
                if let Some(worker) = self.workers.get_mut(id)
                    && is_comparable
                    && !long_running
                {
                    let ratio = (duration as f64 / expected.max(1.0)).clamp(0.2, 8.0);
                    worker.slowness += 0.1 * (ratio - worker.slowness);
                }
                self.add_success(id);
            }
            RunOutcome::Failed if long_running || !scoring => {}
            RunOutcome::Failed => {
                self.add_failure(now, id, FailureCause::Failed, other_failures > 0);
            }
            _ => {}
        }
    }

    /// Adds a failure to a worker's score. `is_repeated` tells whether the task is the likelier cause.
    pub(crate) fn add_failure(
        &mut self,
        now: Ms,
        id: &WorkerId,
        cause: FailureCause,
        is_repeated: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspect = worker.is_suspect();
        worker.failure_score += match cause {
            _ if is_repeated => REPEATED_FAILURE_SCORE,
            FailureCause::Failed => FIRST_FAILURE_SCORE,
            FailureCause::Stalled => STALL_SCORE,
            FailureCause::Refused => REFUSAL_SCORE,
        };
        if worker.is_suspect() && cause != FailureCause::Refused {
            worker.paused_until = worker.paused_until.max(now + SUSPECT_PAUSE);
        }
        if worker.is_suspect() && !was_suspect {
            let change = SuspicionChange::new(worker, Some(cause));
            self.suspicion_changes.push(change);
        }
    }

    /// Subtracts a success from a worker's failure score.
    fn add_success(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspect = worker.is_suspect();
        worker.failure_score = (worker.failure_score - SUCCESS_CREDIT).max(0.0);
        if was_suspect && !worker.is_suspect() {
            let change = SuspicionChange::new(worker, None);
            self.suspicion_changes.push(change);
        }
    }

    /// Returns and clears the changes of suspicion since the last call.
    pub fn take_suspicion_changes(&mut self) -> Vec<SuspicionChange> {
        std::mem::take(&mut self.suspicion_changes)
    }
}
