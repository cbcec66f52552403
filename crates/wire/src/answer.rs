//! What a caller is told about one quick request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Body, Class, Kind};

/// The one answer to a quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It ran; this is the whole answer.
    Done(Body),
    /// It went wrong.
    Fault(Fault),
}

/// An error with the words that explain it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What went wrong.
    pub kind: Kind,
    /// For a person to read.
    pub reason: String,
    /// When to come back, if the owner knows better than the table, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
}

impl Fault {
    /// An error of this kind.
    pub fn new(kind: Kind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            after_ms: None,
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn after(mut self, after: Duration) -> Self {
        self.after_ms = u64::try_from(after.as_millis()).ok();
        self
    }

    /// When to come back, where that makes sense.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let usual = self.kind.row().retry_after?;
        Some(self.after_ms.map_or(usual, Duration::from_millis))
    }
}

impl Answer {
    /// A fault of this kind.
    pub fn fault(kind: Kind, reason: impl Into<String>) -> Self {
        Self::Fault(Fault::new(kind, reason))
    }

    /// What the caller may conclude.
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
