//! What can go wrong with the platform.

use snafu::Snafu;

use crate::Row;

/// Why the platform did not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The request had no effect.
    #[snafu(display("the platform is down: {reason}"))]
    Down {
        /// What was seen.
        reason: String,
    },
    /// The request may have taken effect; the answer was lost.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    Lost {
        /// What was seen.
        reason: String,
    },
    /// A check of the transaction failed, and nothing was written.
    #[snafu(display("{} rows were not as expected", rows.len()))]
    Conflict {
        /// The rows that were not as expected, as they are now.
        rows: Vec<Row>,
    },
}
