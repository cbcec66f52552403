//! One attempt at one task, as the owner of its rack knows it.

use resource::{Size, id};
use wire::{Fate, Task, TaskId};
use worker::call::{Moment, Start, Stop, Throttle};

use crate::Now;

/// What is to be said to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start a task.
    Start {
        /// The worker's address.
        address: String,
        /// The message.
        start: Start,
    },
    /// Stop a task.
    Stop {
        /// The worker's address.
        address: String,
        /// The message.
        stop: Stop,
    },
    /// Slow a task down to what it declared.
    Throttle {
        /// The worker's address.
        address: String,
        /// The message.
        throttle: Throttle,
    },
}

/// What came of a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The worker did it; work saved by a stop, in milliseconds.
    Done {
        /// Work saved, in milliseconds.
        saved_ms: u64,
    },
    /// It certainly had no effect.
    Refused,
    /// It may have had its effect; the next heartbeats tell.
    Unknown,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Room is kept for a gang that is not complete yet.
    Held { until: Now },
    /// Room is being made by stopping others.
    Awaiting { until: Now },
    /// The worker was told; it may start until this moment of its own.
    Starting { not_after: Moment, sent: Now },
    /// It runs.
    Running { since: Now },
    /// The worker was told to stop it.
    Stopping { since: Now, preempted: bool },
}

/// One attempt, on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) task: Task,
    pub(crate) worker: id::Worker,
    /// What is set aside for it.
    pub(crate) reserved: Size,
    /// The most that it was seen to use.
    pub(crate) peak: Size,
    /// Reports that its peak was seen in.
    pub(crate) usage_reports: u32,
    pub(crate) state: AttemptState,
}

impl Attempt {
    pub(crate) fn new(task: Task, worker: &str, state: AttemptState) -> Self {
        let reserved = task.size;
        Self {
            task,
            worker: worker.to_owned(),
            reserved,
            peak: Size::ZERO,
            usage_reports: 0,
            state,
        }
    }

    /// Whether it may be on its worker, or is promised its room there.
    pub(crate) const fn occupies(&self) -> bool {
        !matches!(self.state, AttemptState::Awaiting { .. })
    }

    /// The attempt's name.
    pub(crate) const fn id(&self) -> &TaskId {
        &self.task.id
    }
}

/// The fate that follows from how a stop was asked for.
pub(crate) const fn fate_of_stop(preempted: bool, saved_ms: u64) -> Fate {
    if preempted {
        Fate::Preempted { saved_ms }
    } else {
        Fate::Lost
    }
}
