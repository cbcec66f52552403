//! Reports of workers about their runs.

use crate::task::{Ms, TaskKey};

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It completed successfully.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not arrive in time.
    Alone,
}

impl RunOutcome {
    /// Short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// Status of a run in progress.
#[derive(Clone, Debug)]
pub struct RunStatus {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
    /// Response time in milliseconds for a latency-sensitive task; millicores in use for any other.
    pub load: u32,
}

/// End of a run.
#[derive(Clone, Debug)]
pub struct RunEnd {
    /// Number of the end, counted from the start of the worker's incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default)]
pub struct WorkerReport {
    /// The worker's clock.
    pub clock: Ms,
    /// Incarnation of the worker in Unix milliseconds; 0 if not reported.
    pub incarnation: u64,
    /// End of the lease that the poll requested, on the worker's clock; 0 if it requested none.
    pub lease: Ms,
    /// When the poll was sent, on this process's clock.
    pub requested_at: Ms,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ends of runs that the worker has not been told to forget.
    pub ended: Vec<RunEnd>,
}

/// Largest number of ends that a report lists; the worker keeps the others for later ones.
pub(crate) const MAX_ENDS: usize = 500;

impl WorkerReport {
    /// Whether the worker may have ended runs that this report doesn't list.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.ended.len() >= MAX_ENDS
    }

    /// Whether the report lists a run as in progress.
    pub(crate) fn lists(&self, task: &TaskKey, run: u32) -> bool {
        self.running
            .iter()
            .any(|row| row.run == run && row.task == *task)
    }
}
