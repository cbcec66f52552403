//! A task of a job, as it is placed on a worker.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::Shape;

/// Priority band of a task. An urgent task may preempt batch tasks of all lower bands, another task within its
/// quota only borrowed ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Band {
    /// Over the team's quota; runs only on resources that other teams leave idle.
    Borrowed,
    /// Within the quota.
    Normal,
    /// Services: within the quota, never preempted.
    Standing,
    /// Urgent work, within the quota.
    Urgent,
}

/// Identifies one attempt at a task.
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
    /// Increases with every new attempt at this task.
    #[serde(rename = "n")]
    pub attempt: u64,
}

impl TaskId {
    /// Whether both identify the same task, regardless of the attempt.
    #[must_use]
    pub fn same_task(&self, other: &Self) -> bool {
        self.index == other.index && self.job == other.job && self.team == other.team
    }
}

/// One attempt at one task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Its identifier.
    pub id: TaskId,
    /// Kind of its job.
    pub shape: Shape,
    /// Its priority band.
    pub band: Band,
    /// Resources that it may use on its worker.
    pub size: Size,
    /// Declared run time, in milliseconds; services run until stopped.
    pub run_ms: u64,
    /// Home rack of the job, whose owner manages the job.
    pub home: id::Rack,
    /// Work saved by an earlier attempt, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub saved_ms: u64,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}
