//! What a placer tells operators about itself.

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
    /// Whether it is stopping.
    pub draining: bool,
    /// The racks that it owns or is about to own.
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
    /// Workers that were adopted, with what is reserved on each and whether it takes new work.
    pub workers: Vec<(id::Worker, Size, bool)>,
    /// Tasks that run or are being started.
    pub tasks: u32,
    /// Quick requests waiting.
    pub waiting: u32,
    /// Use of each team: (team, quota home size in use, waiting tasks), for teams at home here.
    pub teams: Vec<(id::Team, Size, u32)>,
}
