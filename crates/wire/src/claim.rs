//! Claims: the record that a non-idempotent request is about to start.

use resource::id;
use serde::{Deserialize, Serialize};

/// One claim, made by the owner of a rack before it starts the request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The rack whose owner claims.
    pub rack: id::Rack,
    /// Version of the rack's row when its owner took it; a later owner makes this fail.
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

/// What became of a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is held by the claimant, who may start the request.
    Held,
    /// An earlier owner holds it: the request may have run.
    Taken,
    /// The claimant does not own the rack any more.
    Fenced,
    /// The table did not take it in time; it may stand there all the same.
    Unknown,
}
