//! What can go wrong between an owner and a worker.

use platform::http;
use snafu::Snafu;

use crate::Refusal;

/// Why a command to a worker brought no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The worker turned it away; it has no effect.
    #[snafu(display("the worker refused: {refusal:?}"))]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The worker saw nothing of it.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What was seen.
        reason: String,
    },
    /// It may have had its effect.
    #[snafu(display("no whole answer: {reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
}

impl Error {
    /// Whether the command certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NotSent { .. })
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::NotSent { reason } => Self::NotSent { reason },
            http::Error::NoAnswer { reason } => Self::NoAnswer { reason },
        }
    }
}
