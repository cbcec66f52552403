//! Answers to orders.

use crate::task::Ms;

/// Answer to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It runs.
    Running,
    /// Another owner has a higher epoch there.
    Fenced,
    /// A run with this number or a higher one ended or was stopped there.
    Old,
    /// It came after its last moment.
    Late,
    /// There is no room.
    Room,
    /// The ticket doesn't hold (any more).
    Ticket,
    /// The worker can't read the order.
    Unreadable,
    /// The worker is not well and did nothing.
    Unwell,
    /// The worker is not there; nothing was done.
    Away,
    /// No answer in time: it may run or begin yet.
    Lost,
    /// No answer, since the connection has ended: it may run, or the worker may have crashed under it.
    Cut,
}

impl Answer {
    /// A short name, as logs and metrics have it.
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

/// Answer to a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopAnswer {
    /// The run is stopped and won't begin any more; with the worker's clock.
    Stopped(Ms),
    /// Another owner has a higher epoch there.
    Fenced,
    /// Nothing is known; it is to be sent again.
    Lost,
}
