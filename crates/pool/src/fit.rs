//! On which worker a task starts.

use resource::Size;

use crate::job::Step;
use crate::scarce::Scarce;
use crate::task::Ms;
use crate::worker::Worker;

/// Evidence at which a worker counts as one that fails what it starts: three failures in a row, or more among others.
/// A sound worker with a tenth of failures reaches it about once in a thousand tasks.
pub const SUSPECT: f64 = 3.0;

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
    /// What is scarce among the service's workers.
    pub scarce: Scarce,
    /// All workers that have room cost the same, so the first one is taken.
    pub first_fit: bool,
}

/// Whether the worker may run a task of the step at all.
#[must_use]
pub fn allowed(worker: &Worker, service: &str, step: &Step) -> bool {
    worker.news.service == service
        && (step.label.is_empty() || worker.news.labels.contains(&step.label))
}

/// What it costs to start the task there, where `free` is left; the smallest is chosen. `None` if it can't be.
#[must_use]
pub fn cost(worker: &Worker, step: &Step, free: Size, context: &Context) -> Option<f64> {
    let size: Size = step.room();
    if !size.fits(free) || !worker.takes(context.now) {
        return None;
    }
    if step.per_worker > 0 && context.same >= step.per_worker {
        return None;
    }
    if worker.doubt >= SUSPECT && (context.placed > 0 || !worker.runs.is_empty()) {
        return None;
    }
    if context.first_fit {
        return Some(0.0);
    }
    let mut cost = worker.slowness.max(0.2) + worker.doubt * 0.3;
    if !step.near.is_empty()
        && worker.news.rack != step.near
        && !worker.news.labels.contains(&step.near)
    {
        cost *= context.far_factor.max(1.0);
    }
    if step.fills {
        // What fills lives on what is left, and disturbs those that serve.
        cost += 2.0 * f64::from(context.serving);
        cost += 1.0 - free.millicores as f64 / worker.news.room.millicores.max(1) as f64;
    } else {
        // Best fit keeps large rooms whole for wide tasks.
        let left = free.minus(size).unwrap_or_default();
        cost += 0.2 * context.scarce.left(left, worker.news.room);
    }
    if step.target > 0 {
        cost += 1.0 * f64::from(context.filling) + 0.1 * f64::from(context.serving);
    }
    if step.lasting {
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
