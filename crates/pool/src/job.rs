//! Jobs as submitted by callers and stored.

use std::fmt;

use resource::Size;
use serde::{Deserialize, Serialize};

use crate::customer::CustomerId;
use crate::task::{JobId, Ms};

/// A step of a job: a number of tasks of one kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Size,
    /// Estimated duration of one task, as given by the caller.
    pub estimate: Ms,
    /// Indices of the steps that must be complete before this one opens.
    pub after: Vec<u16>,
    /// Whether its tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether its tasks form a gang: they run only together.
    pub gang: bool,
    /// Whether its tasks run more slowly when spread over several racks.
    pub same_rack: bool,
    /// Label that the worker must have; empty if none is required.
    pub label: String,
    /// Rack that holds the step's input data; empty if none.
    #[serde(rename = "near")]
    pub data_rack: String,
    /// Maximum number of its tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether two copies of a task may run at the same time.
    #[serde(rename = "copies")]
    pub allows_copies: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that its tasks run.
    pub image: String,
    /// Response time that its tasks must keep, in milliseconds; 0 for none.
    #[serde(rename = "target")]
    pub target_latency: Ms,
    /// Whether its tasks are best-effort: they use processors that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of its tasks that the scheduler may interrupt at the same time; `None` for no limit.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Recurrence of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Schedule {
    /// When the first occurrence is due, in Unix milliseconds.
    pub first: u64,
    /// Time between occurrences, in milliseconds.
    pub every: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// Marks a queue whose steps run only on workers that the advisor allows, with the expected cost of a query.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct AdvisorPolicy {
    /// Fixed part of the duration of a query, in milliseconds.
    #[serde(rename = "base")]
    pub base_ms: f64,
    /// Additional duration per worker in the query, in milliseconds.
    #[serde(rename = "each")]
    pub per_worker_ms: f64,
    /// How long a ticket stays valid, in milliseconds.
    #[serde(rename = "valid")]
    pub ticket_lifetime: Ms,
}

/// Scheduling policy that a queue applies to its jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Policy {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Factor of the job's objective: the objective is the longest chain of estimated work times this factor plus
    /// [`Policy::objective`].
    pub stretch: f64,
    /// Constant part of the job's objective, in milliseconds.
    pub objective: Ms,
    /// Set if the advisor must be asked where steps may run.
    pub advice: Option<AdvisorPolicy>,
}

/// A job as accepted and stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Job {
    /// Job id chosen by the caller.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Service whose workers run the job.
    pub service: String,
    /// Customer that the job belongs to; empty for none.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub customer: CustomerId,
    /// Opaque text from the caller, passed unchanged to each task.
    pub payload: String,
    /// The job's steps; a step may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// Recurrence; `None` for a job that runs once.
    pub schedule: Option<Schedule>,
    /// The queue's policy at the time of acceptance.
    pub policy: Policy,
    /// When the job was accepted, in Unix milliseconds.
    pub accepted: u64,
    /// Epoch of the pool's owner as known to the accepting host; 0 if it knew none. An owner with a smaller epoch must not start
    /// the job, so the owner with this epoch knows that no earlier owner has started it.
    pub epoch: u64,
}

/// Why a submitted job is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InvalidJob {
    /// The job has no steps, or a step has no tasks.
    Empty,
    /// The job has more than [`Job::MAX_TASKS`] tasks.
    TooManyTasks,
    /// The step with this index depends on itself or on a later step.
    InvalidDependency(usize),
}

impl fmt::Display for InvalidJob {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(to, "a job needs a step, and each step a task"),
            Self::TooManyTasks => write!(to, "a job has at most {} tasks", Job::MAX_TASKS),
            Self::InvalidDependency(step) => {
                write!(to, "step {step}: comes after a step that isn't before it")
            }
        }
    }
}

impl Job {
    /// Maximum number of tasks in one occurrence. One row of the store can hold the progress of this many tasks.
    pub const MAX_TASKS: u64 = 10_000;

    /// Validates a submitted job.
    ///
    /// # Errors
    /// Returns the first violated rule.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(InvalidJob::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > Self::MAX_TASKS {
            return Err(InvalidJob::TooManyTasks);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step
                .after
                .iter()
                .any(|&before| usize::from(before) >= index)
            {
                return Err(InvalidJob::InvalidDependency(index));
            }
        }
        Ok(())
    }

    /// When an occurrence is due, in Unix milliseconds; 0 for a job that runs once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let since_first = schedule.every.saturating_mul(u64::from(occurrence));
            schedule.first.saturating_add(since_first)
        })
    }

    /// Longest chain of estimated work from the start of `step` to the end of the job, in milliseconds.
    #[must_use]
    pub fn chain_from(&self, step: usize) -> Ms {
        let mut longest = vec![0; self.steps.len()];
        for index in (0..self.steps.len()).rev() {
            let next = (index + 1..self.steps.len())
                .filter(|&later| self.steps[later].after.contains(&(index as u16)))
                .map(|later| longest[later])
                .max();
            longest[index] = self.steps[index].estimate.saturating_add(next.unwrap_or(0));
        }
        longest.get(step).copied().unwrap_or(0)
    }

    /// Longest chain of estimated work in the job, in milliseconds.
    #[must_use]
    pub fn chain(&self) -> Ms {
        (0..self.steps.len())
            .map(|step| self.chain_from(step))
            .max()
            .unwrap_or(0)
    }

    /// Target for the time from acceptance to completion, in milliseconds.
    #[must_use]
    pub fn objective(&self) -> Ms {
        let scaled = (self.chain() as f64 * self.policy.stretch) as Ms;
        scaled.saturating_add(self.policy.objective)
    }

    /// Whether the job runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl Step {
    /// Resources that a task reserves on its worker. Best-effort tasks reserve no processors: they use what other tasks leave
    /// idle.
    #[must_use]
    pub const fn demand(&self) -> Size {
        if self.best_effort {
            Size::new(0, self.size.memory_mib, self.size.accelerators)
        } else {
            self.size
        }
    }

    /// Resources that a task counts with against its customer's limit. Best-effort tasks count in full: the limit is on what the
    /// customer may run, whatever is reserved for it.
    #[must_use]
    pub const fn charge(&self) -> Size {
        self.size
    }
}
