//! Long-running tasks that wait to be started again, and why no worker takes them, for the log.
//!
//! The store keeps the highest run number of a step alone, so a new owner takes all tasks of a step that has run for tasks that have.

use std::cmp::Reverse;

use crate::fit::{self, Unfit};
use crate::job::Job;
use crate::live::Stage;
use crate::place::TICKET_MARGIN;
use crate::pool::Pool;
use crate::task::{Ms, StageKey};

/// A long-running task that has waited this long after a run is down.
const DOWN_AFTER: Ms = 2_000;

/// A long-running step with tasks that are down.
#[derive(Clone, Debug)]
pub struct DownStep {
    /// The step.
    pub stage: StageKey,
    /// Number of its tasks that are down.
    pub tasks: usize,
    /// For how long the first of them could have been started by this owner, in milliseconds.
    pub since: Ms,
    /// The workers that may run the step, by what keeps it from starting there.
    pub workers: WorkerCounts,
}

/// Numbers of workers by what keeps a task from starting there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerCounts {
    /// Too little free capacity.
    pub full: usize,
    /// The worker takes no starts.
    pub unavailable: usize,
    /// The worker runs as many tasks of the step as it may.
    pub per_worker: usize,
    /// Tasks that may crash workers are kept apart.
    pub crashes: usize,
    /// The worker is suspected of failing what it starts.
    pub suspected: usize,
    /// The advisor has denied the worker.
    pub denied: usize,
    /// There is no valid ticket for the worker.
    pub unadvised: usize,
    /// Nothing.
    pub usable: usize,
}

impl Pool {
    /// The long-running steps with tasks that are down, those that have been so for the longest time first, at most `limit`.
    #[must_use]
    pub fn down_steps(&self, now: Ms, limit: usize) -> Vec<DownStep> {
        let mut down: Vec<(Ms, usize, &StageKey)> = Vec::new();
        for key in &self.open_steps {
            let Some(stage) = self.long_running_stage(key) else {
                continue;
            };
            let waits = stage.tasks.iter().filter(|task| task.highest_run > 0);
            let waits = waits.filter(|task| task.is_startable(now));
            let opened = stage.opened.unwrap_or(now);
            let waits = waits.map(|task| now.saturating_sub(task.retry_at.max(opened)));
            let waits: Vec<Ms> = waits.filter(|&wait| wait >= DOWN_AFTER).collect();
            if let Some(&longest) = waits.iter().max() {
                down.push((longest, waits.len(), key));
            }
        }
        down.sort_by_key(|&(longest, _, key)| (Reverse(longest), key));
        down.truncate(limit);
        let down = down.into_iter().filter_map(|(since, tasks, key)| {
            Some(DownStep {
                stage: key.clone(),
                tasks,
                since,
                workers: self.count_workers(now, key)?,
            })
        });
        down.collect()
    }

    fn long_running_stage(&self, key: &StageKey) -> Option<&Stage> {
        let job = &self.jobs.get(&key.job)?.job;
        let step = job.steps.get(usize::from(key.step))?;
        step.long_running.then(|| self.stage(key)).flatten()
    }

    fn count_workers(&self, now: Ms, key: &StageKey) -> Option<WorkerCounts> {
        let job = &self.jobs.get(&key.job)?.job;
        let step = job.steps.get(usize::from(key.step))?;
        let stage = self.stage(key)?;
        let same_step = stage.runs_per_worker();
        let mut counts = WorkerCounts::default();
        let workers = self.workers.values();
        for worker in workers.filter(|worker| fit::is_eligible(worker, &job.service, step)) {
            let context = self.placement_context(now, worker, &same_step);
            let count = match fit::check(worker, step, worker.free_capacity(), &context) {
                Err(Unfit::Capacity) => &mut counts.full,
                Err(Unfit::Unavailable) => &mut counts.unavailable,
                Err(Unfit::PerWorker) => &mut counts.per_worker,
                Err(Unfit::Crashes) => &mut counts.crashes,
                Err(Unfit::Suspected) => &mut counts.suspected,
                Ok(()) => count_by_advice(&mut counts, now, job, stage, worker),
            };
            *count += 1;
        }
        Some(counts)
    }
}

/// The count of a worker on which only the advisor's permission may be missing.
fn count_by_advice<'a>(
    counts: &'a mut WorkerCounts,
    now: Ms,
    job: &Job,
    stage: &Stage,
    worker: &crate::Worker,
) -> &'a mut usize {
    let advised = &stage.advised;
    if job.policy.advice.is_none() {
        return &mut counts.usable;
    }
    if advised.denied.contains(&worker.id) {
        return &mut counts.denied;
    }
    let ticket = advised.allowed.get(&worker.id);
    let is_valid = ticket.is_some_and(|ticket| {
        ticket.valid_until > now + TICKET_MARGIN && ticket.incarnation == worker.incarnation
    });
    if is_valid {
        &mut counts.usable
    } else {
        &mut counts.unadvised
    }
}
