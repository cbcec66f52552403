//! The answer to one quick request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Body, Class, Kind};

/// The answer to a quick request; each request gets exactly one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The request ran; this is its complete result.
    Done(Body),
    /// The request failed.
    Fault(Fault),
}

/// An error with an explanation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of error.
    pub kind: Kind,
    /// Explanation for people.
    pub reason: String,
    /// Delay before a retry, in milliseconds, if the owner has a better estimate than the table of [`Kind::row`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
}

impl Fault {
    /// Creates an error of this kind.
    pub fn new(kind: Kind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            after_ms: None,
        }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.after_ms = u64::try_from(after.as_millis()).ok();
        self
    }

    /// Delay before a retry; `None` if retrying is pointless.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let default = self.kind.row().retry_after?;
        Some(self.after_ms.map_or(default, Duration::from_millis))
    }
}

impl Answer {
    /// Creates an answer with a fault of this kind.
    pub fn fault(kind: Kind, reason: impl Into<String>) -> Self {
        Self::Fault(Fault::new(kind, reason))
    }

    /// What the caller may conclude from the answer.
    #[must_use]
    pub const fn class(&self) -> Class {
        match self {
            Self::Done(_) => Class::Done,
            Self::Fault(fault) => fault.kind.row().class,
        }
    }
}

impl From<Fault> for Answer {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}
