//! The closed list of error kinds and the table that maps them to answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a caller may conclude from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// The request ran, and the answer is complete.
    Done,
    /// The request did not run and never will; a retry is safe.
    NotRun,
    /// The request may have run; the system does not retry it.
    MayHaveRun,
    /// The request can't run in this form.
    Refused,
}

impl Class {
    /// Name of this class in headers and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Refused => "refused",
        }
    }
}

/// Every kind of error that a request can end with.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A part of the request is missing or malformed.
    BadInput,
    /// The body is larger than allowed.
    TooLarge,
    /// There is no such team.
    UnknownTeam,
    /// There is no such service.
    UnknownService,
    /// There is no such job.
    UnknownJob,
    /// No worker is large enough for it, or the quota can never allow it.
    NeverFits,
    /// The team is not allowed to do this.
    NotAllowed,
    /// The id was used before for a different request or job.
    Conflict,
    /// Too many requests are in flight or queued; this one was rejected before it started.
    Busy,
    /// The deadline passed before the request started.
    Deadline,
    /// The process is shutting down and accepts no new work.
    Draining,
    /// The rack currently has no owner.
    NoOwner,
    /// The process that received the request does not own the rack, or no longer owns it.
    NotOwner,
    /// The owner may not start work now, because it can't prove that it is still the owner.
    NoAuthority,
    /// The request needs the platform's table, which is unavailable.
    StoreDown,
    /// Every worker that was tried rejected the request before starting it.
    NoWorker,
    /// The request was cancelled before it started.
    Cancelled,
    /// The request was sent to a worker, which did not answer.
    Lost,
    /// The request was sent to an owner, which did not answer.
    OwnerLost,
    /// An earlier owner claimed the request, and its outcome is unknown.
    ClaimedBefore,
    /// The worker ran the request, and the run failed.
    Failed,
}

/// One row of the table that maps kinds to answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// What the caller may conclude.
    pub class: Class,
    /// HTTP status of the answer to the caller.
    pub status: u16,
    /// Delay before a retry; `None` if retrying is pointless.
    pub retry_after: Option<Duration>,
}

impl Kind {
    /// Every kind, in the order of the table in `docs/API.md`.
    pub const ALL: [Self; 21] = [
        Self::BadInput,
        Self::TooLarge,
        Self::UnknownTeam,
        Self::UnknownService,
        Self::UnknownJob,
        Self::NeverFits,
        Self::NotAllowed,
        Self::Conflict,
        Self::Busy,
        Self::Deadline,
        Self::Draining,
        Self::NoOwner,
        Self::NotOwner,
        Self::NoAuthority,
        Self::StoreDown,
        Self::NoWorker,
        Self::Cancelled,
        Self::Lost,
        Self::OwnerLost,
        Self::ClaimedBefore,
        Self::Failed,
    ];

    /// The answer that this kind leads to.
    ///
    /// ```
    /// use wire::{Class, Kind};
    ///
    /// assert_eq!(Kind::Busy.row().class, Class::NotRun);
    /// assert!(Kind::Busy.row().retry_after.is_some());
    /// assert_eq!(Kind::Lost.row().class, Class::MayHaveRun);
    /// ```
    #[must_use]
    pub const fn row(self) -> Row {
        match self {
            Self::BadInput => refused(400),
            Self::TooLarge => refused(413),
            Self::UnknownTeam | Self::UnknownService | Self::UnknownJob => refused(404),
            Self::NeverFits => refused(422),
            Self::NotAllowed => refused(403),
            Self::Conflict => refused(409),
            Self::Busy => not_run(429, 1),
            Self::Deadline => not_run(504, 1),
            Self::Draining | Self::NotOwner | Self::NoWorker => not_run(503, 1),
            Self::NoOwner => not_run(503, 3),
            Self::NoAuthority => not_run(503, 2),
            Self::StoreDown => not_run(503, 5),
            Self::Cancelled => not_run(410, 0),
            Self::Lost | Self::OwnerLost | Self::ClaimedBefore => may_have_run(502),
            Self::Failed => may_have_run(500),
        }
    }

    /// Name of this kind in headers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadInput => "bad-input",
            Self::TooLarge => "too-large",
            Self::UnknownTeam => "unknown-team",
            Self::UnknownService => "unknown-service",
            Self::UnknownJob => "unknown-job",
            Self::NeverFits => "never-fits",
            Self::NotAllowed => "not-allowed",
            Self::Conflict => "conflict",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
            Self::NoOwner => "no-owner",
            Self::NotOwner => "not-owner",
            Self::NoAuthority => "no-authority",
            Self::StoreDown => "store-down",
            Self::NoWorker => "no-worker",
            Self::Cancelled => "cancelled",
            Self::Lost => "lost",
            Self::OwnerLost => "owner-lost",
            Self::ClaimedBefore => "claimed-before",
            Self::Failed => "failed",
        }
    }
}

const fn refused(status: u16) -> Row {
    Row {
        class: Class::Refused,
        status,
        retry_after: None,
    }
}

const fn may_have_run(status: u16) -> Row {
    Row {
        class: Class::MayHaveRun,
        status,
        retry_after: None,
    }
}

/// The request did not run; retry after this many seconds (0: retrying is pointless).
const fn not_run(status: u16, seconds: u64) -> Row {
    let retry_after = match seconds {
        0 => None,
        s => Some(Duration::from_secs(s)),
    };
    Row {
        class: Class::NotRun,
        status,
        retry_after,
    }
}
