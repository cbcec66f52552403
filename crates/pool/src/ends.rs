//! Handles the ends of runs.

use std::sync::Arc;

use crate::pool::Pool;
use crate::report::{RunEnd, RunOutcome};
use crate::state::State;
use crate::task::{JobId, Ms, Phase, StageKey, TaskKey, WorkerId};
use crate::timeline::StepTimes;

/// Delay before a failed task is started again, so that a worker on which everything fails at once doesn't use up all attempts
/// before its failure score has grown. Short compared with the objectives of quick jobs.
const FAILED_RETRY_DELAY: Ms = 20;
/// Delay before a failed long-running task is started again: it must be back soon, but must not be restarted in a tight loop.
const LONG_RUNNING_RETRY_DELAY: Ms = 200;

impl Pool {
    /// Clears the current run of a task, however it ended. The task is not started again within `retry` milliseconds.
    pub(crate) fn end_run(&mut self, now: Ms, key: &TaskKey, retry: Ms) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(run) = task.run.take() else {
            return;
        };
        task.retry_at = task.retry_at.max(now + retry);
        if !run.may_have_crashed_worker && task.clear_crash(run.number) {
            self.mark_dirty(&key.stage.job);
        }
        self.unconfirmed_runs.remove(key);
        self.release_capacity(key, &run.worker);
    }

    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut crate::task::Task> {
        self.jobs
            .get_mut(&key.stage.job)?
            .task(key.stage.occurrence, key.stage.step, key.index)
    }

    /// Applies the end of a run as reported by its worker.
    pub(crate) fn apply_end(&mut self, now: Ms, unix: u64, worker: &WorkerId, end: &RunEnd) {
        let key = &end.task;
        let is_orphan = self.workers.get(worker).is_some_and(|reporter| {
            let orphan = reporter.orphaned_runs.get(key);
            orphan.is_some_and(|orphan| orphan.run == end.run)
        });
        if is_orphan {
            self.remove_orphan(worker, key);
        }
        let id = Arc::clone(&key.stage.job);
        self.begin_named_occurrence(now, &key.stage);
        let Some(live) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = Arc::clone(&live.job);
        let Some(step) = job.steps.get(usize::from(key.stage.step)) else {
            return;
        };
        let Some(task) = live.task(key.stage.occurrence, key.stage.step, key.index) else {
            return;
        };
        // A long-running task is never done, however it ends.
        let outcome = if step.long_running && end.outcome == RunOutcome::Done {
            RunOutcome::Stopped
        } else {
            end.outcome
        };
        // A long-running task may fail any number of times, so its failures aren't kept: its row would grow without bound.
        let recorded = if step.long_running {
            RunOutcome::Stopped
        } else {
            outcome
        };
        let store = task.record_end(end.run, recorded, &end.checkpoint);
        let current = task
            .run
            .as_ref()
            .filter(|run| run.number == end.run && run.worker == *worker)
            .cloned();
        let other_is_current = task.done && current.is_none() && task.run.is_some();
        let attempts = task.failed.len();
        if let Some(run) = &current {
            self.score_worker(now, worker, outcome, run, key, step.long_running);
            let retry = match end.outcome {
                RunOutcome::Failed if step.long_running => LONG_RUNNING_RETRY_DELAY,
                RunOutcome::Failed => FAILED_RETRY_DELAY,
                _ => 0,
            };
            self.end_current_run(now, key, retry);
        }
        if other_is_current {
            self.stop_run(key);
        }
        if store {
            self.mark_dirty(&id);
        }
        match outcome {
            RunOutcome::Done => self.complete_task(now, unix, &key.stage, end.run, step.gang),
            RunOutcome::Failed if !step.long_running => {
                let attempts = if step.gang {
                    self.gang_failures(&key.stage)
                } else {
                    attempts
                };
                let max_failures = job.policy.attempts.max(1) as usize;
                if attempts >= max_failures
                    && !self.jobs.get(&id).is_none_or(|live| live.state.is_final())
                {
                    self.finalize_job(unix, &id, State::Failed);
                }
            }
            _ => self.complete_or_advance(now, unix, &id, key.stage.occurrence),
        }
    }

    /// Number of runs of a gang in which at least one member failed.
    fn gang_failures(&self, key: &StageKey) -> usize {
        let Some(stage) = self.stage(key) else {
            return 0;
        };
        let mut runs: Vec<u32> = stage
            .tasks
            .iter()
            .flat_map(|task| task.failed.iter().copied())
            .collect();
        runs.sort_unstable();
        runs.dedup();
        runs.len()
    }

    pub(crate) fn stage(&self, key: &StageKey) -> Option<&crate::live::Stage> {
        self.jobs
            .get(&key.job)?
            .open
            .get(&key.occurrence)?
            .stages
            .get(usize::from(key.step))
    }

    pub(crate) fn stage_mut(&mut self, key: &StageKey) -> Option<&mut crate::live::Stage> {
        self.jobs
            .get_mut(&key.job)?
            .open
            .get_mut(&key.occurrence)?
            .stages
            .get_mut(usize::from(key.step))
    }

    /// Counts the completed tasks of a step after the run with this number is done, and opens the steps that depend on the step if it
    /// is complete. In a gang, stops the members that were started again since.
    fn complete_task(&mut self, now: Ms, unix: u64, key: &StageKey, run: u32, gang: bool) {
        let Some(stage) = self.stage_mut(key) else {
            return;
        };
        let mut unneeded = Vec::new();
        if gang {
            stage.complete_gang();
            unneeded = stage.runs_other_than(run);
        }
        stage.done = stage.tasks.iter().filter(|task| task.done).count();
        let complete = stage.complete();
        for index in unneeded {
            self.stop_run(&key.task(index));
        }
        if complete {
            self.open_steps.remove(key);
            self.record_step_times(now, key);
            self.complete_or_advance(now, unix, &key.job, key.occurrence);
        }
    }

    /// Records the summary of a completed step, for the log.
    fn record_step_times(&mut self, now: Ms, key: &StageKey) {
        let (Some(live), Some(stage)) = (self.jobs.get(&key.job), self.stage(key)) else {
            return;
        };
        let opened = stage.opened.unwrap_or(now);
        let since = |time: Option<Ms>| time.map(|time| time.saturating_sub(opened));
        let times = &stage.timeline;
        let times = StepTimes {
            stage: key.clone(),
            queue: live.job.queue.clone(),
            tasks: stage.tasks.len(),
            estimate: live
                .job
                .steps
                .get(usize::from(key.step))
                .map_or(0, |step| step.estimate),
            age: opened.saturating_sub(live.accepted_at),
            first_query: since(times.first_query),
            first_answer: since(times.first_answer),
            first_start: since(times.first_start),
            last_start: since(times.last_start),
            done: now.saturating_sub(opened),
            queries: times.queries,
            starts: times.starts,
            customer: Arc::clone(&live.job.customer),
            owed: live.is_owed,
            waited: times.waited(now),
        };
        self.steps_done.push(times);
    }

    /// Returns and clears the summaries of the steps that were completed since the last call.
    pub fn take_steps_done(&mut self) -> Vec<StepTimes> {
        std::mem::take(&mut self.steps_done)
    }

    /// Closes an occurrence if its last run is over, and completes the job if that was its last one. Otherwise opens the steps that have
    /// become ready, and the occurrences that have waited for the window.
    pub(crate) fn complete_or_advance(&mut self, now: Ms, unix: u64, id: &JobId, occurrence: u32) {
        let Some(live) = self.jobs.get_mut(id) else {
            return;
        };
        if live.close(occurrence) {
            self.window.give_back(live.tasks_per_occurrence());
        }
        self.complete_if_over(unix, id);
        self.open_steps_of(id, &[occurrence], now);
        self.advance(id, now, unix);
    }

    /// Completes a job if all its occurrences are finished.
    pub(crate) fn complete_if_over(&mut self, unix: u64, id: &JobId) {
        if let Some(live) = self.jobs.get_mut(id)
            && live.is_over()
            && !live.state.is_final()
        {
            live.state = State::Completed;
            live.closed = unix;
            self.scheduled_jobs.remove(id);
            self.mark_dirty(id);
        }
    }

    /// Marks a task's run to be stopped.
    pub(crate) fn stop_run(&mut self, key: &TaskKey) {
        if let Some(task) = self.task_mut(key)
            && let Some(run) = &mut task.run
            && run.phase != Phase::Stopping
        {
            run.phase = Phase::Stopping;
            run.stop_sent = 0;
            self.unconfirmed_runs.insert(key.clone());
        }
    }
}
