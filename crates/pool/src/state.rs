//! States of a job as its caller sees them.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Nothing of it has started.
    #[default]
    Queued,
    /// Some of it has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller took it back.
    Cancelled,
}

impl State {
    /// Whether nothing of it will start any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
