//! States of a job as shown to its caller.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed successfully.
    Completed,
    /// A task has reached the maximum number of failed runs, or was abandoned because it crashed its workers.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl State {
    /// Whether no task of the job will start any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
