//! Periodic checks of runs: stalled tasks and the pace of best-effort tasks; and how ends affect a worker's failure score.

use std::sync::Arc;

use crate::command::{Command, Pace};
use crate::fit::SUSPECT_SCORE;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::report::RunOutcome;
use crate::task::{Ms, Phase, Run, TaskKey, WorkerId};

/// Minimum time between two checks: on most workers, reports don't arrive more often.
const CHECK_INTERVAL: Ms = 200;
/// A task whose progress hasn't changed for this long is stalled. Reports arrive at least every 0.7 s, and a task of 15 s
/// advances by one percent in 0.15 s.
const STALL_TIMEOUT: Ms = 2_500;
/// A task that has stalled more often than this is likelier to be the cause than its workers. From then on the time for which it may
/// stall doubles with each run.
const STALLS_OF_WORKERS: u32 = 2;
/// A worker whose failure score reaches [`SUSPECT_SCORE`] gets no tasks for this long, then one at a time.
const SUSPECT_PAUSE: Ms = 2_000;
/// The next poll waits for further ends for the estimate of the shortest task on the worker, divided by this.
const POLL_DELAY_DIVISOR: Ms = 10;
/// Maximum time that the next poll waits for further ends.
const MAX_POLL_DELAY: Ms = 200;
/// Added to a worker's failure score by the first failure of a task.
const FIRST_FAILURE_SCORE: f64 = 1.0;
/// Added by a failure of a task that has failed before: the task itself is the likelier cause.
const REPEATED_FAILURE_SCORE: f64 = 0.25;
/// Added by a task that stalls.
const STALL_SCORE: f64 = 1.5 * FIRST_FAILURE_SCORE;
/// Subtracted by a task that succeeds.
const SUCCESS_CREDIT: f64 = 0.6;

impl Pool {
    /// How long to wait with the next poll of a worker that has reported ends, so that it reports several ends at once.
    ///
    /// Without the wait, a worker whose tasks end one after the other is polled once for each of them. Callers don't notice
    /// an end that is reported later by a tenth of the duration of the shortest task.
    #[must_use]
    pub fn poll_delay(&self, id: &str) -> Ms {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        if !self.has(Mechanism::GatherEnds) {
            return 0;
        }
        let steps = worker.runs.keys().filter_map(|key| {
            let live = self.jobs.get(&key.stage.job)?;
            live.job.steps.get(usize::from(key.stage.step))
        });
        let finite = steps.filter(|step| !step.long_running);
        let shortest = finite.map(|step| step.estimate).min();
        (shortest.unwrap_or(0) / POLL_DELAY_DIVISOR).min(MAX_POLL_DELAY)
    }

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
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match outcome {
            RunOutcome::Done => {
                worker.failure_score = (worker.failure_score - SUCCESS_CREDIT).max(0.0);
                if is_comparable && !long_running {
                    let ratio = (duration as f64 / expected.max(1.0)).clamp(0.2, 8.0);
                    worker.slowness += 0.1 * (ratio - worker.slowness);
                }
            }
            RunOutcome::Failed if long_running || !scoring => {}
            RunOutcome::Failed => {
                worker.failure_score += if other_failures > 0 {
                    REPEATED_FAILURE_SCORE
                } else {
                    FIRST_FAILURE_SCORE
                };
                if worker.failure_score >= SUSPECT_SCORE {
                    worker.paused_until = worker.paused_until.max(now + SUSPECT_PAUSE);
                }
            }
            _ => {}
        }
    }

    /// Stops stalled tasks, paces best-effort tasks, and moves tasks away from workers that are about to leave.
    pub(crate) fn check_runs(&mut self, now: Ms) {
        if now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.evacuate(now);
        let mut stalled = Vec::new();
        let mut paces = Vec::new();
        for worker in self.workers.values() {
            // After 1.5 s without a report, nothing is known of the current state of the worker's runs.
            if now.saturating_sub(worker.last_poll) > 1_500 {
                continue;
            }
            let mut max_ratio = 0.0_f64;
            let mut best_effort = Vec::new();
            for key in worker.runs.keys() {
                let Some(live) = self.jobs.get(&key.stage.job) else {
                    continue;
                };
                let Some(step) = live.job.steps.get(usize::from(key.stage.step)) else {
                    continue;
                };
                let Some((run, stalls)) = self
                    .stage(&key.stage)
                    .and_then(|stage| stage.tasks.get(key.index as usize))
                    .and_then(|task| Some((task.run.as_ref()?, task.stalls)))
                else {
                    continue;
                };
                if run.phase != Phase::Running {
                    continue;
                }
                if step.target_latency > 0 {
                    max_ratio = max_ratio.max(f64::from(run.load) / step.target_latency as f64);
                }
                if step.best_effort {
                    best_effort.push((key.clone(), run.number, run.pace));
                } else if !step.long_running {
                    // One percent of a long task may take longer than the fixed limit.
                    let timeout = STALL_TIMEOUT.max(step.estimate / 10);
                    let doublings = stalls.saturating_sub(STALLS_OF_WORKERS);
                    let timeout = timeout.saturating_mul(2_u64.saturating_pow(doublings));
                    if now.saturating_sub(run.progressed_at) > timeout {
                        stalled.push((key.clone(), Arc::clone(&worker.id)));
                    }
                }
            }
            if !best_effort.is_empty() {
                paces.push((Arc::clone(&worker.id), max_ratio, best_effort));
            }
        }
        if !self.has(Mechanism::Standstill) {
            stalled.clear();
        }
        if !self.has(Mechanism::Pace) {
            paces.clear();
        }
        for (key, id) in stalled {
            self.stop_run(&key);
            let stalls = self.task_mut(&key).map_or(0, |task| {
                task.stalls += 1;
                task.stalls
            });
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.failure_score += if stalls > STALLS_OF_WORKERS {
                    REPEATED_FAILURE_SCORE
                } else {
                    STALL_SCORE
                };
                if worker.failure_score >= SUSPECT_SCORE {
                    worker.paused_until = worker.paused_until.max(now + SUSPECT_PAUSE);
                }
            }
        }
        for (id, max_ratio, best_effort) in paces {
            let percent = self.pace_controller.update(now, &id, max_ratio);
            for (task, run, pace) in best_effort {
                if pace == percent {
                    continue;
                }
                if let Some(run) = self.task_mut(&task).and_then(|task| task.run.as_mut()) {
                    run.pace = percent;
                }
                self.commands.push(Command::Pace(Pace {
                    task,
                    run,
                    worker: Arc::clone(&id),
                    percent,
                }));
            }
        }
    }

    /// A change of pace was not confirmed: the next check sends it again.
    pub fn pace_unconfirmed(&mut self, pace: &Pace) {
        if let Some(run) = self.task_mut(&pace.task).and_then(|task| task.run.as_mut())
            && run.number == pace.run
        {
            run.pace = u32::MAX;
        }
    }
}
