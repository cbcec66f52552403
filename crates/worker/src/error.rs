//! Errors of the calls to a worker.

use platform::http;
use snafu::Snafu;

use crate::Refusal;

/// Why a call to a worker brought no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The worker rejected the call, which had no effect.
    #[snafu(display("the worker refused: {refusal:?}"))]
    Refused {
        /// The reason.
        refusal: Refusal,
    },
    /// The call did not reach the worker.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Details of the failure.
        reason: String,
    },
    /// The call may have had an effect.
    #[snafu(display("no complete response: {reason}"))]
    NoAnswer {
        /// Details of the failure.
        reason: String,
    },
}

impl Error {
    /// Whether the call certainly had no effect.
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
