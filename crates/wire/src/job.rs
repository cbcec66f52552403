//! Jobs, which are submitted and then watched: services, batch jobs and gangs.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

/// Kind of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Tasks that run until the job is cancelled.
    Service,
    /// Tasks that finish independently of each other.
    Batch,
    /// Tasks that run only if all of them run at the same time.
    Gang,
}

/// A job, validated by the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Id chosen by the caller, unique within the team.
    pub id: id::Job,
    /// The team that submits the job.
    pub team: id::Team,
    /// Kind of the job.
    pub shape: Shape,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task may use on its worker.
    pub size: Size,
    /// Whether it takes precedence over all other work, within the quota.
    pub urgent: bool,
    /// Declared run time of a task, in milliseconds.
    pub run_ms: u64,
}

impl Job {
    /// Resources of all tasks together.
    #[must_use]
    pub const fn total(&self) -> Size {
        self.size.times(self.tasks as u64)
    }
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No task runs yet.
    Queued,
    /// At least one task runs.
    Running,
    /// Every task has finished.
    Finished,
    /// The caller cancelled it.
    Cancelled,
    /// A task failed too many times.
    Failed,
}

impl Phase {
    /// Whether the phase is final.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Finished | Self::Cancelled | Self::Failed)
    }
}

/// State of a job, as reported to callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Id of the job.
    pub id: id::Job,
    /// Its phase.
    pub phase: Phase,
    /// Number of tasks that wait for capacity.
    pub waiting: u32,
    /// Number of tasks that run or are being started.
    pub running: u32,
    /// Number of tasks that have finished.
    pub finished: u32,
    /// Number of attempts that failed, were lost or were preempted.
    pub restarts: u32,
}
