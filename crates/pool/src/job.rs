//! What a caller asked for.

use std::fmt;

use resource::Size;
use serde::{Deserialize, Serialize};

use crate::task::{JobId, Ms};

/// A step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub size: Size,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Ms,
    /// Steps whose tasks must all be done before.
    pub after: Vec<u16>,
    /// Its tasks save their progress.
    pub checkpoints: bool,
    /// Its tasks work only together.
    pub gang: bool,
    /// Its tasks are slower when they run on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    pub label: String,
    /// The rack of its data; empty for none.
    pub near: String,
    /// At most this many tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Copies of a task may run at once.
    pub copies: bool,
    /// Its tasks run until the job is cancelled.
    pub lasting: bool,
    /// What its tasks run.
    pub image: String,
    /// Response time that its tasks must keep, in milliseconds; 0 for none.
    pub target: Ms,
    /// Its tasks use what processors others leave.
    pub fills: bool,
    /// How many of its tasks may be away at once by our doing, if that is limited.
    pub may_miss: Option<u32>,
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Schedule {
    /// When the first occurrence is due, in Unix milliseconds.
    pub first: u64,
    /// Time between occurrences in milliseconds.
    pub every: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A queue's rule that its steps run only where the advisor allows.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Advice {
    /// Time that a question takes, in milliseconds.
    pub base: f64,
    /// Further time for each worker that is asked about, in milliseconds.
    pub each: f64,
    /// How long a ticket holds, in milliseconds.
    pub valid: Ms,
}

/// What a queue lays down for its jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Policy {
    /// 0 goes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The objective is this many times the longest chain of work, and [`Policy::objective`] more.
    pub stretch: f64,
    /// Fixed part of the objective, in milliseconds.
    pub objective: Ms,
    /// Where its steps may run is asked, if set.
    pub advice: Option<Advice>,
}

/// A job as it was accepted and stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Job {
    /// The caller's id.
    pub id: JobId,
    /// The queue it was sent to.
    pub queue: String,
    /// The service whose workers run it.
    pub service: String,
    /// The caller's text, handed to each task as it is.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Its times, if it has any.
    pub schedule: Option<Schedule>,
    /// The queue's policy when it was accepted.
    pub policy: Policy,
    /// When it was accepted, in Unix milliseconds.
    pub accepted: u64,
    /// Epoch of its pool's owner, as far as the host knew that accepted it; 0 if it knew none. An owner with a smaller epoch
    /// must not start it, so one with this epoch knows that no former owner has.
    pub epoch: u64,
}

/// Why a job can't be taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Unfit {
    /// It has no step, or a step without tasks.
    Empty,
    /// It has more tasks than [`Job::TASKS_MOST`].
    TooMany,
    /// A step comes after one that doesn't stand before it.
    Order(usize),
}

impl fmt::Display for Unfit {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(to, "a job needs a step, and each step a task"),
            Self::TooMany => write!(to, "a job has at most {} tasks", Job::TASKS_MOST),
            Self::Order(step) => write!(to, "step {step}: comes after a step that isn't before it"),
        }
    }
}

impl Job {
    /// Most tasks of a job in one occurrence. One row of the store has room for the course of this many.
    pub const TASKS_MOST: u64 = 10_000;

    /// Checks what a caller sent.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), Unfit> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(Unfit::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > Self::TASKS_MOST {
            return Err(Unfit::TooMany);
        }
        for (at, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&before| usize::from(before) >= at) {
                return Err(Unfit::Order(at));
            }
        }
        Ok(())
    }

    /// Longest chain of estimated work from a step to the end, that step included, in milliseconds.
    #[must_use]
    pub fn chain_from(&self, step: usize) -> Ms {
        let mut longest = vec![0; self.steps.len()];
        for at in (0..self.steps.len()).rev() {
            let next = (at + 1..self.steps.len())
                .filter(|&later| self.steps[later].after.contains(&(at as u16)))
                .map(|later| longest[later])
                .max();
            longest[at] = self.steps[at].estimate + next.unwrap_or(0);
        }
        longest.get(step).copied().unwrap_or(0)
    }

    /// Longest chain of estimated work, in milliseconds.
    #[must_use]
    pub fn chain(&self) -> Ms {
        (0..self.steps.len())
            .map(|step| self.chain_from(step))
            .max()
            .unwrap_or(0)
    }

    /// The time from acceptance in which it should be completed, in milliseconds.
    #[must_use]
    pub fn objective(&self) -> Ms {
        (self.chain() as f64 * self.policy.stretch) as Ms + self.policy.objective
    }

    /// Whether it runs until it is cancelled.
    #[must_use]
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

impl Step {
    /// What a task takes of its worker's room. Tasks that fill use processors that others leave.
    #[must_use]
    pub const fn room(&self) -> Size {
        if self.fills {
            Size::new(0, self.size.memory_mib, self.size.accelerators)
        } else {
            self.size
        }
    }
}
