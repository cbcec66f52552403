//! Work that is submitted and then watched: services, batch jobs and gangs.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

/// What kind of work a job is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Tasks that stay up until the job is cancelled.
    Service,
    /// Tasks that finish, each by itself.
    Batch,
    /// Tasks that run only when all of them run together.
    Gang,
}

/// A job, checked by the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The caller's name for it, unique within the team.
    pub id: id::Job,
    /// The team that asks.
    pub team: id::Team,
    /// What kind of work it is.
    pub shape: Shape,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task may take of its worker.
    pub size: Size,
    /// Whether it goes before everything else, within the quota.
    pub urgent: bool,
    /// How long a task says that it will run, in milliseconds.
    pub run_ms: u64,
}

impl Job {
    /// What all tasks take together.
    #[must_use]
    pub const fn total(&self) -> Size {
        self.size.times(self.tasks as u64)
    }
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No task runs yet.
    Queued,
    /// At least one task runs.
    Running,
    /// Every task has finished.
    Finished,
    /// The caller withdrew it.
    Cancelled,
    /// A task failed too often.
    Failed,
}

impl Phase {
    /// Whether nothing more will happen.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Finished | Self::Cancelled | Self::Failed)
    }
}

/// What a caller is told about a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The job.
    pub id: id::Job,
    /// Where it stands.
    pub phase: Phase,
    /// Tasks that wait for room.
    pub waiting: u32,
    /// Tasks that run or are being started.
    pub running: u32,
    /// Tasks that have finished.
    pub finished: u32,
    /// Attempts that were lost, failed or given up for other work.
    pub restarts: u32,
}
