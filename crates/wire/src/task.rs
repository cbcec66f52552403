//! One part of a job, as it is placed on a worker.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::Shape;

/// Which claim to room a task has: a higher band may take room from a lower one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Band {
    /// Beyond the team's quota; runs only on what others leave idle.
    Borrowed,
    /// Within the quota.
    Normal,
    /// Services: within the quota, never stopped for other work.
    Standing,
    /// Urgent work, within the quota.
    Urgent,
}

/// Names one attempt at one task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskId {
    /// Team of the job.
    #[serde(rename = "t")]
    pub team: id::Team,
    /// The job.
    #[serde(rename = "j")]
    pub job: id::Job,
    /// Number of the task within its job, from 0.
    #[serde(rename = "i")]
    pub index: u32,
    /// Rises with every new attempt at this task.
    #[serde(rename = "n")]
    pub attempt: u64,
}

impl TaskId {
    /// Whether both name the same task, in whatever attempt.
    #[must_use]
    pub fn same_task(&self, other: &Self) -> bool {
        self.index == other.index && self.job == other.job && self.team == other.team
    }
}

/// One attempt at one task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Its name.
    pub id: TaskId,
    /// What kind of job it belongs to.
    pub shape: Shape,
    /// Its claim to room.
    pub band: Band,
    /// What it may take of its worker.
    pub size: Size,
    /// How long it says that it will run, in milliseconds; services run until stopped.
    pub run_ms: u64,
    /// Rack whose owner looks after the job.
    pub home: id::Rack,
    /// Work saved by an earlier attempt, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub saved_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}
