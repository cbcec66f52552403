//! How fast a worker is, by what its running tasks have done.
//!
//! Answers the load in which workers turn several times slower for seconds. By tasks that ended alone that was known only when the
//! first slow one had ended, and until then quick tasks went on being put there. Running tasks list their progress at least every
//! 0.6 s. An estimate may be far off, so tasks of two jobs have to agree that it is the worker.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::pool::Pool;
use crate::task::{JobId, Ms, Phase, WorkerId};

/// A task tells nothing before it has run for this long.
const LEAST: Ms = 200;
/// Jobs whose tasks have to agree.
const JOBS_LEAST: usize = 2;
/// From this ratio of time to estimate on a worker counts as slow.
const SLOW: f64 = 2.5;
/// Up to this ratio a worker is as fast as others; what tasks that end say of it is more exact.
const USUAL: f64 = 1.5;
/// Bounds of the ratio.
const RATIO: (f64, f64) = (0.2, 8.0);
/// Part that a look at running tasks counts.
const NEWEST: f64 = 0.5;

impl Pool {
    /// Corrects what is known of a worker's speed by the progress of its running tasks.
    pub(crate) fn gauge(&mut self, now: Ms, id: &WorkerId) {
        let Some(ratio) = self.ratio(now, id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(id)
            && (ratio > SLOW || worker.slowness > USUAL)
        {
            worker.slowness += NEWEST * (ratio - worker.slowness);
        }
    }

    /// Time that tasks take there against their estimates: the least of several jobs, since a task may be longer than estimated,
    /// but hardly all of them.
    fn ratio(&self, now: Ms, id: &WorkerId) -> Option<f64> {
        let mut ratios: FxHashMap<JobId, f64> = FxHashMap::default();
        for key in self.workers.get(id)?.runs.keys() {
            let Some(live) = self.jobs.get(&key.stage.job) else {
                continue;
            };
            let step = live.job.steps.get(usize::from(key.stage.step));
            let tasks = self.stage(&key.stage).map(|stage| &stage.tasks);
            let run = tasks.and_then(|tasks| tasks.get(key.index as usize)?.run.as_ref());
            let (Some(step), Some(run)) = (step, run) else {
                continue;
            };
            let elapsed = now.saturating_sub(run.ordered);
            let plain = !step.lasting && !step.fills && !step.gang && run.latest > 0;
            if !plain || run.phase != Phase::Running || elapsed < LEAST.max(step.estimate / 4) {
                continue;
            }
            let expected = step.estimate as f64 * self.learned.scale(&live.job.queue);
            let takes = elapsed as f64 * 100.0 / f64::from(run.percent.max(1));
            let ratio = (takes / expected.max(1.0)).clamp(RATIO.0, RATIO.1);
            let least = ratios.entry(Arc::clone(&key.stage.job)).or_insert(ratio);
            *least = least.min(ratio);
        }
        if ratios.len() < JOBS_LEAST {
            return None;
        }
        ratios.into_values().reduce(f64::min)
    }
}
