//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a caller may conclude from an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// It ran, and the answer is whole.
    Done,
    /// It did not run and never will; asking again is safe.
    NotRun,
    /// It may have run; the system will not repeat it.
    MayHaveRun,
    /// It can't run as it was asked.
    Refused,
}

impl Class {
    /// The word for this class in headers and reports.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Refused => "refused",
        }
    }
}

/// Every way in which a request can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Something in the request is missing or malformed.
    BadInput,
    /// The body is larger than allowed.
    TooLarge,
    /// No such team.
    UnknownTeam,
    /// No such service.
    UnknownService,
    /// No such job.
    UnknownJob,
    /// No worker could ever hold it, or the quota could never allow it.
    NeverFits,
    /// The team may not do this.
    NotAllowed,
    /// The id was used before for something else.
    Conflict,
    /// Too much is under way; it was turned away before it started.
    Busy,
    /// The deadline passed before it started.
    Deadline,
    /// The process is stopping and takes nothing new.
    Draining,
    /// The rack has no owner at the moment.
    NoOwner,
    /// The asked process does not own the rack (any more).
    NotOwner,
    /// The owner may not start anything now: it can't prove that it is still the owner.
    NoAuthority,
    /// The platform's table is down and the request needs it.
    StoreDown,
    /// Every worker that was tried turned it away before starting it.
    NoWorker,
    /// It was cancelled before it started.
    Cancelled,
    /// It was sent to a worker and no answer came back.
    Lost,
    /// It was sent to an owner and no answer came back.
    OwnerLost,
    /// An earlier owner claimed it and its outcome is not known.
    ClaimedBefore,
    /// The worker ran it, and it failed.
    Failed,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// What the caller may conclude.
    pub class: Class,
    /// HTTP status towards the caller.
    pub status: u16,
    /// When to come back, where that makes sense.
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

    /// The kind in headers, logs and metrics.
    #[must_use]
    pub const fn word(self) -> &'static str {
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

/// Not run; come back after this many seconds (0: there is no use in coming back).
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
