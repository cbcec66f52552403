//! State changes of attempts, reported by the owner of a rack to the owner of a job.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// State of one attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// The worker started the attempt.
    Running,
    /// The attempt has run for so long that it is not suspected of crashing its worker. Reported only for tasks
    /// that may have crashed workers before.
    Stable,
    /// The attempt completed its work.
    Finished,
    /// The attempt ended by itself without completing its work.
    Failed,
    /// The attempt was not started and never will be.
    NotStarted,
    /// The attempt was stopped to free capacity for other work, after saving its progress.
    Preempted {
        /// Work saved, in milliseconds.
        saved_ms: u64,
    },
    /// The worker restarted shortly after the start of the attempt, which may be the cause.
    Lost,
    /// The attempt has ended for another reason, and whether it completed its work is unknown.
    Interrupted,
}

impl AttemptState {
    /// Whether the attempt has ended and can't run any more.
    #[must_use]
    pub const fn is_over(self) -> bool {
        !matches!(self, Self::Running | Self::Stable)
    }
}

/// A state change of one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The attempt.
    pub task: TaskId,
    /// Its new state.
    #[serde(rename = "fate")]
    pub state: AttemptState,
}
