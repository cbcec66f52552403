//! Claims: durable records that a non-idempotent request is about to start.

use resource::id;
use serde::{Deserialize, Serialize};

/// One claim, written by the owner of a rack before it starts the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The rack whose owner writes the claim.
    pub rack: id::Rack,
    /// Version of the rack's row when its owner acquired the rack; the write fails if a later owner has
    /// changed the row.
    pub rack_version: u64,
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// Team and id of the request.
    pub request: String,
}

impl Claim {
    /// Key of the claim's row in the platform's table.
    #[must_use]
    pub fn row(&self) -> String {
        format!("claim/{}/{}", self.rack, self.request)
    }
}

/// Outcome of writing a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The claimant holds the claim and may start the request.
    Held,
    /// An earlier owner holds the claim: the request may have run.
    Taken,
    /// The claimant no longer owns the rack.
    Fenced,
    /// The table did not confirm the write in time; the claim may be stored nevertheless.
    Unknown,
}
