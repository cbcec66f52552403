//! One attempt to run a task, as seen by the owner of its rack.

use resource::{Size, id};
use wire::{AttemptState, Task, TaskId};
use worker::call::{Moment, Start, Stop, Throttle};

use crate::Now;

/// A command to be sent to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Starts a task.
    Start {
        /// Address of the worker, `ip:port`.
        address: String,
        /// The message.
        start: Start,
    },
    /// Stops a task.
    Stop {
        /// Address of the worker, `ip:port`.
        address: String,
        /// The message.
        stop: Stop,
    },
    /// Throttles a task to its declared size.
    Throttle {
        /// Address of the worker, `ip:port`.
        address: String,
        /// The message.
        throttle: Throttle,
    },
}

/// Outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The worker carried it out.
    Done {
        /// Work saved by a stop, in milliseconds.
        saved_ms: u64,
    },
    /// The command certainly had no effect.
    Refused,
    /// The command may have had an effect; later heartbeats show whether it did.
    Unknown,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptPhase {
    /// Capacity is held for a gang that is not complete yet.
    Held { until: Now },
    /// Waits until other tasks have been stopped to free capacity.
    Awaiting { until: Now },
    /// A start command was sent; the worker may start it until `not_after`, by the worker's clock.
    Starting { not_after: Moment, sent: Now },
    /// It is running.
    Running { since: Now },
    /// A stop command was sent.
    Stopping { since: Now, preempted: bool },
}

/// One attempt to run a task on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) task: Task,
    pub(crate) worker: id::Worker,
    /// Capacity that is reserved for it.
    pub(crate) reserved: Size,
    /// Highest usage reported so far.
    pub(crate) peak: Size,
    /// Number of usage reports that `peak` is based on.
    pub(crate) usage_reports: u32,
    pub(crate) phase: AttemptPhase,
    /// When its start command was sent; `None` before that, and if an earlier owner sent it.
    pub(crate) launched: Option<Now>,
    /// Number of workers that earlier attempts at the task may have crashed; `None` if unknown,
    /// because an earlier owner placed it.
    pub(crate) crashes: Option<u32>,
}

impl Attempt {
    pub(crate) fn new(task: Task, worker: &str, phase: AttemptPhase, crashes: Option<u32>) -> Self {
        let reserved = task.size;
        Self {
            task,
            worker: worker.to_owned(),
            reserved,
            peak: Size::ZERO,
            usage_reports: 0,
            phase,
            launched: None,
            crashes,
        }
    }

    /// Whether it may be running on its worker, or has capacity held for it there.
    pub(crate) const fn occupies(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Awaiting { .. })
    }

    pub(crate) const fn id(&self) -> &TaskId {
        &self.task.id
    }
}

/// State of an attempt that has ended after a stop command.
pub(crate) const fn state_after_stop(preempted: bool, saved_ms: u64) -> AttemptState {
    if preempted {
        AttemptState::Preempted { saved_ms }
    } else {
        AttemptState::Interrupted
    }
}
