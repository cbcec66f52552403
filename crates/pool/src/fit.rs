//! On which worker a task starts.

use resource::Size;

use crate::crash::{CRASHES_ALONE, STABLE_AFTER, Suspicion};
use crate::job::Step;
use crate::scarce::Scarce;
use crate::task::Ms;
use crate::worker::Worker;

/// Evidence at which a worker counts as one that fails what it starts: three failures in a row, or more among others.
/// A sound worker with a tenth of failures reaches it about once in a thousand tasks.
pub const SUSPECT: f64 = 3.0;
/// Cost of a worker with another task that may crash it, for one that may as well.
const SUSPECTS_APART: f64 = 4.0;
/// Cost of a worker of which it isn't sure that it lives, or that is new, for such a task.
const UNPROVEN: f64 = 2.0;

/// What the choice depends on besides worker and step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// Now.
    pub now: Ms,
    /// How much slower the task is away from the rack of its data.
    pub far_factor: f64,
    /// Tasks of the step that run on the worker already.
    pub same: u32,
    /// Tasks that this plan has put there already.
    pub placed: u32,
    /// Tasks there that have a response time to keep.
    pub serving: u32,
    /// Tasks there that fill.
    pub filling: u32,
    /// What is held against the task.
    pub suspicion: Suspicion,
    /// The most crashes of any suspect there that may yet crash the worker; 0 if there is none.
    pub trial: usize,
    /// What is scarce among the service's workers.
    pub scarce: Scarce,
    /// All workers that have room cost the same, so the first one is taken.
    pub first_fit: bool,
}

/// Whether the worker may run a task of the step at all.
#[must_use]
pub fn allowed(worker: &Worker, service: &str, step: &Step) -> bool {
    worker.info.service == service
        && (step.label.is_empty() || worker.info.labels.contains(&step.label))
}

/// What it costs to start the task there, where `free` is left; the smallest is chosen. `None` if it can't be.
#[must_use]
pub fn cost(worker: &Worker, step: &Step, free: Size, context: &Context) -> Option<f64> {
    let size: Size = step.demand();
    if !size.fits(free) || !worker.accepts_starts(context.now) {
        return None;
    }
    if step.per_worker > 0 && context.same >= step.per_worker {
        return None;
    }
    if context.trial >= CRASHES_ALONE {
        return None;
    }
    let suspicion = context.suspicion;
    // It may have been lost in the same event as the worker that the task ran on.
    let doubtful = worker.last_poll <= suspicion.since;
    if suspicion.crashes >= CRASHES_ALONE && (context.trial > 0 || doubtful) {
        return None;
    }
    if worker.failure_score >= SUSPECT && (context.placed > 0 || !worker.runs.is_empty()) {
        return None;
    }
    if context.first_fit {
        return Some(0.0);
    }
    let mut cost = worker.slowness.max(0.2) + worker.failure_score * 0.3;
    if !step.data_rack.is_empty()
        && worker.info.rack != step.data_rack
        && !worker.info.labels.contains(&step.data_rack)
    {
        cost *= context.far_factor.max(1.0);
    }
    if step.best_effort {
        // What fills lives on what is left, and disturbs those that serve.
        cost += 2.0 * f64::from(context.serving);
        cost += 1.0 - free.millicores as f64 / worker.info.capacity.millicores.max(1) as f64;
    } else {
        // Best fit keeps large rooms whole for wide tasks.
        let left = free.minus(size).unwrap_or_default();
        cost += 0.2 * context.scarce.left(left, worker.info.capacity);
    }
    if step.target_latency > 0 {
        cost += 1.0 * f64::from(context.filling) + 0.1 * f64::from(context.serving);
    }
    if suspicion.crashes > 0 {
        // Apart from other suspects, on a worker that is likely to last, and where a further crash costs least.
        cost += SUSPECTS_APART * context.trial as f64;
        let new = context.now.saturating_sub(worker.incarnation_since) < STABLE_AFTER;
        cost += UNPROVEN * (f64::from(u8::from(doubtful)) + f64::from(u8::from(new)));
        cost += 1.0 - free.millicores as f64 / worker.info.capacity.millicores.max(1) as f64;
    }
    if step.long_running {
        cost += 0.05 * f64::from(context.same);
    }
    Some(cost)
}

/// How many times `size` goes into `room`.
pub(crate) fn times(size: Size, room: Size) -> u32 {
    let part = |size: u64, room: u64| room.checked_div(size).unwrap_or(u64::MAX);
    part(size.millicores, room.millicores)
        .min(part(size.memory_mib, room.memory_mib))
        .min(part(size.accelerators, room.accelerators))
        .min(1_000) as u32
}
