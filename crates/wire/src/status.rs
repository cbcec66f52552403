//! The state that a placer reports to operators.

use config::Version;
use resource::{Size, id};
use serde::{Deserialize, Serialize};

/// State of one placer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Its name.
    pub placer: id::Placer,
    /// Version of the configuration that it applies.
    pub config: Version,
    /// Whether it is draining.
    pub draining: bool,
    /// The racks that it owns or is taking over.
    pub racks: Vec<RackStatus>,
}

/// State of one rack.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RackStatus {
    /// The rack.
    pub rack: id::Rack,
    /// Its owner's epoch.
    pub epoch: id::Epoch,
    /// Stage of ownership.
    pub stage: String,
    /// Adopted workers: (worker, reserved resources, whether it accepts new work).
    pub workers: Vec<(id::Worker, Size, bool)>,
    /// Number of tasks that run or are being started.
    pub tasks: u32,
    /// Number of queued quick requests.
    pub waiting: u32,
    /// Use of each team whose home is this rack: (team, resources in use, waiting tasks).
    pub teams: Vec<(id::Team, Size, u32)>,
}
