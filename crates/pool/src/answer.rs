//! Answers of workers to commands.

use crate::task::Ms;

/// Outcome of a start command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run is in progress.
    Running,
    /// The worker has accepted an owner with a higher epoch.
    Fenced,
    /// A run with this number or a higher one has ended or was stopped on the worker.
    Old,
    /// The command arrived after its deadline.
    Late,
    /// The worker doesn't have enough free capacity.
    Room,
    /// The ticket is invalid or has expired.
    Ticket,
    /// The worker could not parse the command.
    Unreadable,
    /// The worker reported itself unhealthy and did nothing.
    Unwell,
    /// No connection could be made, or another process answered at the worker's address; nothing was done.
    Away,
    /// No answer in time: the task may be running or may still start.
    Lost,
    /// The connection was closed without an answer, and the worker had answered on it right before: the task may be running, or may
    /// have crashed the worker.
    Cut,
}

impl StartAnswer {
    /// Short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Fenced => "fenced",
            Self::Old => "old",
            Self::Late => "late",
            Self::Room => "room",
            Self::Ticket => "ticket",
            Self::Unreadable => "unreadable",
            Self::Unwell => "unwell",
            Self::Away => "away",
            Self::Lost => "lost",
            Self::Cut => "cut",
        }
    }
}

/// Outcome of a stop command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopAnswer {
    /// The run is stopped and can't start any more; holds the worker's clock.
    Stopped(Ms),
    /// The worker has accepted an owner with a higher epoch.
    Fenced,
    /// No answer: the outcome is unknown and the command must be sent again.
    Lost,
}
