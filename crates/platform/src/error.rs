//! Errors of the calls to the platform.

use snafu::Snafu;

use crate::Row;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The request had no effect.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Down {
        /// Details of the failure.
        reason: String,
    },
    /// The response was lost; the request may have taken effect.
    #[snafu(display("no response from the platform, the request may have taken effect: {reason}"))]
    Lost {
        /// Details of the failure.
        reason: String,
    },
    /// A version check of the transaction failed, and nothing was written.
    #[snafu(display("version check failed for {} rows", rows.len()))]
    Conflict {
        /// Current state of the rows whose check failed.
        rows: Vec<Row>,
    },
}
