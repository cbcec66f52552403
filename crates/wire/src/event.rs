//! What the owner of a rack tells the owner of a job about its tasks.

use serde::{Deserialize, Serialize};

use crate::TaskId;

/// What became of one attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// The worker started it.
    Running,
    /// It did its work.
    Finished,
    /// It ended by itself without doing its work.
    Failed,
    /// It was not started and never will be.
    NotStarted,
    /// It was stopped to make room, after saving this much work, in milliseconds.
    Preempted {
        /// Work saved, in milliseconds.
        saved_ms: u64,
    },
    /// It is over, and whether it did its work is not known.
    Lost,
}

impl Fate {
    /// Whether the attempt can't run any more.
    #[must_use]
    pub const fn is_over(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// One piece of news about one attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The attempt.
    pub task: TaskId,
    /// What became of it.
    pub fate: Fate,
}
