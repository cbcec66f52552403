//! Failure scores: evidence that runs fail because of the worker that they are on.
//!
//! A worker with a high score is suspected and gets one test at a time: a run that shows by its end whether runs fail there. A
//! long-running task has no such end, so one that has run well for a short time has passed the test. Otherwise the first one that a
//! suspected worker has would keep all other work away from it for as long as it runs.

use std::sync::Arc;

use crate::fit::SUSPECT_SCORE;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::report::RunOutcome;
use crate::task::{Ms, Run, TaskKey, WorkerId};
use crate::worker::Worker;

/// A worker whose failure score reaches [`SUSPECT_SCORE`] gets no tasks for this long, then one at a time.
const SUSPECT_PAUSE: Ms = 2_000;
/// A long-running task that has run for this long has passed its test: a worker that fails what it starts does so soon.
const PROVEN_AFTER: Ms = 1_000;
/// A suspected worker on which nothing has failed for this long, and nothing is being tested, is suspected no longer. Otherwise work
/// that needs several free places there at once, as a gang does, could wait for ever.
const SUSPICION_TIMEOUT: Ms = 10_000;
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

/// A worker has come under suspicion, as its failure score has reached [`SUSPECT_SCORE`], or has been cleared of it.
#[derive(Clone, Debug)]
pub struct WorkerSuspicion {
    /// The worker.
    pub worker: WorkerId,
    /// Its failure score now.
    pub score: f64,
    /// The failure that raised the score to the limit; `None` if the worker has been cleared.
    pub cause: Option<FailureCause>,
    /// Number of runs that the worker has.
    pub runs: usize,
}

impl WorkerSuspicion {
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
    /// Whether the worker is suspected of failing what it starts: its failure score has reached [`SUSPECT_SCORE`].
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        self.failure_score >= SUSPECT_SCORE
    }

    /// Starts nothing on the worker for [`SUSPECT_PAUSE`].
    fn pause(&mut self, now: Ms) {
        self.paused_until = self.paused_until.max(now + SUSPECT_PAUSE);
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
            RunOutcome::Failed if long_running => self.fail_test(now, id, run),
            RunOutcome::Failed if !scoring => {}
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
        let was_suspected = worker.is_suspected();
        worker.failure_score += match cause {
            _ if is_repeated => REPEATED_FAILURE_SCORE,
            FailureCause::Failed => FIRST_FAILURE_SCORE,
            FailureCause::Stalled => STALL_SCORE,
            FailureCause::Refused => REFUSAL_SCORE,
        };
        worker.failed_at = now;
        if worker.is_suspected() && cause != FailureCause::Refused {
            worker.pause(now);
        }
        if worker.is_suspected() && !was_suspected {
            let change = WorkerSuspicion::new(worker, Some(cause));
            self.worker_suspicions.push(change);
        }
    }

    /// Handles the failure of a long-running task. Its attempts have no limit, so it counts only if it has failed a test.
    fn fail_test(&mut self, now: Ms, id: &WorkerId, run: &Run) {
        if !run.is_test || is_proven(now, run) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id).filter(|it| it.is_suspected()) {
            worker.failed_at = now;
            worker.pause(now);
        }
    }

    /// Subtracts a success from a worker's failure score.
    fn add_success(&mut self, id: &WorkerId) {
        let score = self.workers.get(id).map_or(0.0, |it| it.failure_score);
        self.lower_failure_score(id, (score - SUCCESS_CREDIT).max(0.0));
    }

    fn lower_failure_score(&mut self, id: &WorkerId, score: f64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let was_suspected = worker.is_suspected();
        worker.failure_score = score;
        if was_suspected && !worker.is_suspected() {
            let change = WorkerSuspicion::new(worker, None);
            self.worker_suspicions.push(change);
        }
    }

    /// Whether a worker has a run that may still show whether runs fail there.
    pub(crate) fn is_being_tested(&self, now: Ms, worker: &Worker) -> bool {
        let mut runs = worker.runs.keys();
        runs.any(|key| !self.has_passed(now, key))
    }

    /// Whether the current run of a task is that of a long-running task that has run well for some time.
    fn has_passed(&self, now: Ms, key: &TaskKey) -> bool {
        let live = self.jobs.get(&key.stage.job);
        let step = live.and_then(|live| live.job.steps.get(usize::from(key.stage.step)));
        let stage = self.stage(&key.stage);
        let task = stage.and_then(|stage| stage.tasks.get(key.index as usize));
        let run = task.and_then(|task| task.run.as_ref());
        step.is_some_and(|step| step.long_running) && run.is_some_and(|run| is_proven(now, run))
    }

    /// Counts the tests that long-running tasks have passed on suspected workers, and ends suspicions that nothing supports any more.
    pub(crate) fn review_suspected_workers(&mut self, now: Ms) {
        let suspected = self.workers.values().filter(|it| it.is_suspected());
        let reachable = suspected.filter(|it| !it.is_unavailable(now));
        let reachable: Vec<WorkerId> = reachable.map(|it| Arc::clone(&it.id)).collect();
        for id in reachable {
            for _ in 0..self.take_passed_tests(now, &id) {
                self.add_success(&id);
            }
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let failed_recently = now.saturating_sub(worker.failed_at) < SUSPICION_TIMEOUT;
            if worker.is_suspected() && !failed_recently && !self.is_being_tested(now, worker) {
                // The next failure brings the suspicion back.
                self.lower_failure_score(&id, SUSPECT_SCORE - SUCCESS_CREDIT);
            }
        }
    }

    /// Number of tests that long-running tasks have passed on a worker since the last call.
    fn take_passed_tests(&mut self, now: Ms, id: &WorkerId) -> usize {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        let keys = worker.runs.keys().filter(|key| self.has_passed(now, key));
        let keys: Vec<TaskKey> = keys.cloned().collect();
        let mut passed = 0;
        for key in keys {
            let run = self.task_mut(&key).and_then(|task| task.run.as_mut());
            if let Some(run) = run {
                passed += usize::from(std::mem::take(&mut run.is_test));
            }
        }
        passed
    }

    /// Returns and clears the workers that have come under suspicion, or have been cleared of it, since the last call.
    pub fn take_worker_suspicions(&mut self) -> Vec<WorkerSuspicion> {
        std::mem::take(&mut self.worker_suspicions)
    }
}

/// Whether a run of a long-running task has run well for some time.
fn is_proven(now: Ms, run: &Run) -> bool {
    run.confirmed_at
        .is_some_and(|at| now.saturating_sub(at) >= PROVEN_AFTER)
}
