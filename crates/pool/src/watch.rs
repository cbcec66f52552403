//! Evidence about workers, tasks that stand still, and the pace of tasks that fill.

use std::sync::Arc;

use crate::fit::SUSPECT;
use crate::mechanism::Mechanism;
use crate::order::{Order, Pace};
use crate::pool::Pool;
use crate::report::RunOutcome;
use crate::task::{Ms, Phase, Run, TaskKey, WorkerId};

/// Time between two looks: listings are no newer than this on most workers.
const LOOK: Ms = 200;
/// A task whose progress hasn't moved for this long stands still. Listings come at least every 0.7 s, and a task of 15 s
/// moves by a percent in 0.15 s.
const STILL: Ms = 2_500;
/// A worker that failed as often as a suspect gets nothing for this long, then one task at a time.
const REST_SUSPECT: Ms = 2_000;
/// Further ends are awaited for this part of the shortest task's time.
const GATHER_SHARE: Ms = 10;
/// But no longer than this.
const GATHER_MOST: Ms = 200;
/// Evidence of a first failure of a task.
const FIRST: f64 = 1.0;
/// Evidence of the failure of a task that failed elsewhere too: the task is the likelier cause.
const FURTHER: f64 = 0.25;
/// Evidence against a doubt, of a task that ended well.
const WELL: f64 = 0.6;

impl Pool {
    /// How long to leave a worker alone after it has listed ends, so that further ones come with the next look.
    ///
    /// A worker whose tasks end one by one was looked at once for each of them. Callers don't notice an end that is told later
    /// by a tenth of what the shortest task there takes.
    #[must_use]
    pub fn gather(&self, id: &str) -> Ms {
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
        let passing = steps.filter(|step| !step.long_running);
        let shortest = passing.map(|step| step.estimate).min();
        (shortest.unwrap_or(0) / GATHER_SHARE).min(GATHER_MOST)
    }

    /// Draws conclusions about a worker from the end of a run.
    pub(crate) fn judge(
        &mut self,
        now: Ms,
        id: &WorkerId,
        how: RunOutcome,
        run: &Run,
        key: &TaskKey,
        lasting: bool,
    ) {
        let Some(live) = self.jobs.get(&key.stage.job) else {
            return;
        };
        let job = Arc::clone(&live.job);
        let Some(step) = job.steps.get(usize::from(key.stage.step)) else {
            return;
        };
        let before = self.task_mut(key).map_or(0, |task| {
            task.failed
                .iter()
                .filter(|&&number| number != run.number)
                .count()
        });
        let took = now.saturating_sub(run.requested_at);
        let plain = !step.best_effort && !step.gang && run.start_deadline > 0;
        if how == RunOutcome::Done && plain && !lasting {
            self.learned.took(&job.queue, took, step.estimate);
        }
        let expected = step.estimate as f64 * self.learned.scale(&job.queue);
        let doubts = self.has(Mechanism::Doubt);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match how {
            RunOutcome::Done => {
                worker.failure_score = (worker.failure_score - WELL).max(0.0);
                if plain && !lasting {
                    let ratio = (took as f64 / expected.max(1.0)).clamp(0.2, 8.0);
                    worker.slowness += 0.1 * (ratio - worker.slowness);
                }
            }
            RunOutcome::Failed if lasting || !doubts => {}
            RunOutcome::Failed => {
                worker.failure_score += if before > 0 { FURTHER } else { FIRST };
                if worker.failure_score >= SUSPECT {
                    worker.paused_until = worker.paused_until.max(now + REST_SUSPECT);
                }
            }
            _ => {}
        }
    }

    /// Looks for tasks that stand still, and paces tasks that fill.
    pub(crate) fn watch(&mut self, now: Ms) {
        if now < self.looked + LOOK {
            return;
        }
        self.looked = now;
        self.evacuate(now);
        let mut still = Vec::new();
        let mut paces = Vec::new();
        for worker in self.workers.values() {
            if now.saturating_sub(worker.last_poll) > 1_500 {
                continue;
            }
            let mut worst = 0.0_f64;
            let mut fills = Vec::new();
            for key in worker.runs.keys() {
                let Some(live) = self.jobs.get(&key.stage.job) else {
                    continue;
                };
                let Some(step) = live.job.steps.get(usize::from(key.stage.step)) else {
                    continue;
                };
                let Some(run) = self
                    .stage(&key.stage)
                    .and_then(|stage| stage.tasks.get(key.index as usize))
                    .and_then(|task| task.run.as_ref())
                else {
                    continue;
                };
                if run.phase != Phase::Running {
                    continue;
                }
                if step.target_latency > 0 {
                    worst = worst.max(f64::from(run.load) / step.target_latency as f64);
                }
                if step.best_effort {
                    fills.push((key.clone(), run.number, run.pace));
                } else if !step.long_running {
                    // One percent of a long task may take longer than that.
                    let patience = STILL.max(step.estimate / 10);
                    if now.saturating_sub(run.progressed_at) > patience {
                        still.push((key.clone(), Arc::clone(&worker.id)));
                    }
                }
            }
            if !fills.is_empty() {
                paces.push((Arc::clone(&worker.id), worst, fills));
            }
        }
        if !self.has(Mechanism::Standstill) {
            still.clear();
        }
        if !self.has(Mechanism::Pace) {
            paces.clear();
        }
        for (key, id) in still {
            self.stop_run(&key);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.failure_score += 1.5;
                if worker.failure_score >= SUSPECT {
                    worker.paused_until = worker.paused_until.max(now + REST_SUSPECT);
                }
            }
        }
        for (id, worst, fills) in paces {
            let percent = self.tempo.share(now, &id, worst);
            for (task, run, pace) in fills {
                if pace == percent {
                    continue;
                }
                if let Some(run) = self.task_mut(&task).and_then(|task| task.run.as_mut()) {
                    run.pace = percent;
                }
                self.orders.push(Order::Pace(Pace {
                    task,
                    run,
                    worker: Arc::clone(&id),
                    percent,
                }));
            }
        }
    }

    /// A change of pace was not confirmed: it is sent again with the next look.
    pub fn pace_lost(&mut self, pace: &Pace) {
        if let Some(run) = self.task_mut(&pace.task).and_then(|task| task.run.as_mut())
            && run.number == pace.run
        {
            run.pace = u32::MAX;
        }
    }
}
