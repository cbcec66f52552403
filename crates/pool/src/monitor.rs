//! Periodic checks of runs: stalled tasks and the pace of best-effort tasks.

use std::sync::Arc;

use crate::command::{Command, Pace};
use crate::failure_score::FailureCause;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::task::{Ms, Phase, TaskKey, WorkerId};

/// Minimum time between two checks: on most workers, reports don't arrive more often.
const CHECK_INTERVAL: Ms = 200;
/// A task whose progress hasn't changed for this long is stalled. Reports arrive at least every 0.7 s, and a task of 15 s
/// advances by one percent in 0.15 s.
const STALL_TIMEOUT: Ms = 2_500;
/// A task that has stalled more often than this is likelier to be the cause than its workers. From then on the time for which it may
/// stall doubles with each run.
const STALLS_OF_WORKERS: u32 = 2;
/// The next poll waits for further ends for the estimate of the shortest task on the worker, divided by this.
const POLL_DELAY_DIVISOR: Ms = 10;
/// Maximum time that the next poll waits for further ends.
const MAX_POLL_DELAY: Ms = 200;
/// A run that was stopped because it made no progress.
#[derive(Clone, Debug)]
pub struct StalledRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The worker that it is on.
    pub worker: WorkerId,
    /// Time without progress, in milliseconds.
    pub idle: Ms,
    /// Progress in percent.
    pub percent: u32,
    /// Whether it is a member of a gang.
    pub gang: bool,
}

impl Pool {
    /// Returns and clears the runs that were stopped without progress since the last call.
    pub fn take_stalled_runs(&mut self) -> Vec<StalledRun> {
        std::mem::take(&mut self.stalled_runs)
    }

    /// How long to wait with the next poll of a worker that has reported ends, so that it reports several ends at once.
    ///
    /// Without the wait, a worker whose tasks end one after the other is polled once for each of them. Callers don't notice
    /// an end that is reported later by a tenth of the duration of the shortest task.
    #[must_use]
    pub fn poll_delay(&self, id: &str) -> Ms {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        if !self.has(Mechanism::GatherEnds) || worker.has_more_ends {
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

    /// Stops stalled tasks, paces best-effort tasks, and moves tasks away from workers that are about to leave.
    pub(crate) fn check_runs(&mut self, now: Ms) {
        if now < self.checked_at + CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.evacuate(now);
        self.review_suspected_workers(now);
        let mut stalled = Vec::new();
        let mut paces = Vec::new();
        for worker in self.workers.values() {
            // A run on a worker with more ends may have ended, with an end that isn't read yet, so it can't be told whether it has
            // stalled. After 1.5 s without a report, nothing is known of the current state of the worker's runs.
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
                } else if !step.long_running && !worker.has_more_ends {
                    // One percent of a long task may take longer than the fixed limit.
                    let timeout = STALL_TIMEOUT.max(step.estimate / 10);
                    let doublings = stalls.saturating_sub(STALLS_OF_WORKERS);
                    let timeout = timeout.saturating_mul(2_u64.saturating_pow(doublings));
                    let idle = now.saturating_sub(run.progressed_at);
                    if idle > timeout {
                        stalled.push(StalledRun {
                            task: key.clone(),
                            run: run.number,
                            worker: Arc::clone(&worker.id),
                            idle,
                            percent: run.percent,
                            gang: step.gang,
                        });
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
        for run in stalled {
            self.stop_run(&run.task);
            let stalls = self.task_mut(&run.task).map_or(0, |task| {
                task.stalls += 1;
                task.stalls
            });
            let is_repeated = stalls > STALLS_OF_WORKERS;
            // The members of a gang wait for each other, so the cause may be on the worker of another member.
            if !run.gang {
                self.add_failure(now, &run.worker, FailureCause::Stalled, is_repeated);
            }
            self.stalled_runs.push(run);
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
