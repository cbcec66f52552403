//! Which workers may run a task, and the cost of starting it on each.

use resource::Size;

use crate::crash::{MIN_CRASHES_TO_ISOLATE, STABLE_AFTER, Suspicion};
use crate::job::Step;
use crate::service_capacity::ServiceCapacity;
use crate::task::Ms;
use crate::worker::Worker;

/// Failure score at which a worker is taken for faulty: three failures in a row, or more between successes. A healthy
/// worker on which a tenth of the tasks fail reaches it about once in a thousand tasks.
pub const SUSPECT_SCORE: f64 = 3.0;
/// Cost, for a suspect, of a worker that runs another suspect, per crash of the latter.
const SUSPECT_COLOCATION_COST: f64 = 4.0;
/// Cost, for a suspect, of a worker that has not answered since the suspect's last crash, or that started recently.
const UNPROVEN_WORKER_COST: f64 = 2.0;

/// Why a task can't be started on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unfit {
    /// The worker has too little free capacity.
    Capacity,
    /// The worker takes no starts: see [`Worker::accepts_starts`].
    Unavailable,
    /// The worker runs as many tasks of the step as it may.
    PerWorker,
    /// The task or a task on the worker has crashed workers, and the two must be kept apart.
    Crashes,
    /// The worker is suspected of failing what it starts, and gets one task at a time.
    Suspected,
}

/// What the cost depends on besides worker and step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// The current time.
    pub now: Ms,
    /// Factor by which the task is slower on another rack than that of its data.
    pub remote_penalty: f64,
    /// Number of tasks of the step that run on the worker.
    pub same_step: u32,
    /// Number of tasks of the step that this scheduling pass has assigned to the worker.
    pub assigned: u32,
    /// The worker is suspected of failing what it starts, and has a run that may still show it.
    pub being_tested: bool,
    /// Number of latency-sensitive tasks on the worker.
    pub latency_sensitive: u32,
    /// Number of best-effort tasks on the worker.
    pub best_effort: u32,
    /// The suspicion that the task crashes its workers.
    pub suspicion: Suspicion,
    /// Highest number of crashes of any suspect on the worker that may still crash it; 0 if there is none.
    pub suspect_crashes: usize,
    /// The worker has restarted so recently that it may restart again whatever runs on it, which would count against a suspect.
    pub just_restarted: bool,
    /// Capacity of the service's workers and its use, which tell what is scarce.
    pub service_capacity: ServiceCapacity,
    /// All workers with enough free capacity cost the same, so the first one by id is chosen.
    pub first_fit: bool,
}

/// Whether the worker may run a task of the step at all.
#[must_use]
pub fn is_eligible(worker: &Worker, service: &str, step: &Step) -> bool {
    worker.info.service == service
        && (step.label.is_empty() || worker.info.labels.contains(&step.label))
}

/// Whether the task can be started on a worker with the capacity `free` left.
///
/// # Errors
///
/// Fails with the first reason why it can't.
pub fn check(worker: &Worker, step: &Step, free: Size, context: &Context) -> Result<(), Unfit> {
    let size: Size = step.demand();
    if !size.fits(free) {
        return Err(Unfit::Capacity);
    }
    if !worker.accepts_starts(context.now) || context.assigned as usize >= worker.startable_runs() {
        return Err(Unfit::Unavailable);
    }
    if step.per_worker > 0 && context.same_step >= step.per_worker {
        return Err(Unfit::PerWorker);
    }
    if context.suspect_crashes >= MIN_CRASHES_TO_ISOLATE {
        return Err(Unfit::Crashes);
    }
    let suspicion = context.suspicion;
    if suspicion.crashes >= MIN_CRASHES_TO_ISOLATE
        && (context.suspect_crashes > 0
            || is_unproven(worker, &suspicion)
            || context.just_restarted)
    {
        return Err(Unfit::Crashes);
    }
    if worker.is_suspected() && (context.assigned > 0 || context.being_tested) {
        return Err(Unfit::Suspected);
    }
    Ok(())
}

/// Whether the worker may have been lost in the same event as the one that the suspect ran on.
fn is_unproven(worker: &Worker, suspicion: &Suspicion) -> bool {
    worker.last_poll <= suspicion.since
}

/// Cost of starting the task on a worker with the capacity `free` left; the worker with the lowest cost is chosen.
/// `None` if the task can't start there.
#[must_use]
pub fn cost(worker: &Worker, step: &Step, free: Size, context: &Context) -> Option<f64> {
    check(worker, step, free, context).ok()?;
    let size: Size = step.demand();
    let suspicion = context.suspicion;
    if context.first_fit {
        return Some(0.0);
    }
    let mut cost = worker.slowness.max(0.2) + worker.failure_score * 0.3;
    if !step.data_rack.is_empty()
        && worker.info.rack != step.data_rack
        && !worker.info.labels.contains(&step.data_rack)
    {
        cost *= context.remote_penalty.max(1.0);
    }
    if step.best_effort {
        // Best-effort tasks use only processors that others leave free, and slow down latency-sensitive ones.
        cost += 2.0 * f64::from(context.latency_sensitive);
        cost += 1.0 - free.millicores as f64 / worker.info.capacity.millicores.max(1) as f64;
    } else {
        // Best fit keeps large blocks of free capacity for large tasks.
        let left = free.minus(size).unwrap_or_default();
        cost += 0.2
            * context
                .service_capacity
                .weighted_free_share(left, worker.info.capacity);
    }
    if step.target_latency > 0 {
        cost += 1.0 * f64::from(context.best_effort) + 0.1 * f64::from(context.latency_sensitive);
    }
    if suspicion.crashes > 0 {
        // Prefers workers without other suspects, that are likely to stay up, and where another crash loses least.
        cost += SUSPECT_COLOCATION_COST * context.suspect_crashes as f64;
        let recently_started = context.now.saturating_sub(worker.incarnation_since) < STABLE_AFTER;
        cost += UNPROVEN_WORKER_COST
            * (f64::from(u8::from(is_unproven(worker, &suspicion)))
                + f64::from(u8::from(recently_started)));
        cost += 1.0 - free.millicores as f64 / worker.info.capacity.millicores.max(1) as f64;
    }
    if step.long_running {
        cost += 0.05 * f64::from(context.same_step);
    }
    Some(cost)
}

/// How many tasks of this size fit into a capacity.
pub(crate) fn count_fitting(size: Size, capacity: Size) -> u32 {
    let fitting = |size: u64, capacity: u64| capacity.checked_div(size).unwrap_or(u64::MAX);
    fitting(size.millicores, capacity.millicores)
        .min(fitting(size.memory_mib, capacity.memory_mib))
        .min(fitting(size.accelerators, capacity.accelerators))
        .min(1_000) as u32
}
