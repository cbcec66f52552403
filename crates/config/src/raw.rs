//! The configuration as operators write it: JSON, not validated yet.

use resource::Raw as Size;
use serde::{Deserialize, Serialize};

/// A whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// Name of the cell.
    pub name: String,
    /// Regions with their data centres and racks.
    pub regions: Vec<Region>,
    /// Resources that every worker offers to tasks, not counting what its executor itself uses.
    pub worker: Size,
    /// Number of workers in a full rack.
    #[serde(default = "workers_per_rack")]
    pub workers_per_rack: u32,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Services that handle quick requests.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Scheduling policy.
    #[serde(default)]
    pub policy: Policy,
}

/// One region.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: String,
    /// Its data centres.
    pub data_centres: Vec<DataCentre>,
}

/// One data centre.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: String,
    /// Names of its racks.
    pub racks: Vec<String>,
}

/// One team of callers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Region whose racks own the team's jobs.
    pub region: String,
    /// Resources guaranteed to the team when other teams use their quotas too.
    pub quota: Size,
    /// Whether the team may use resources that other teams leave idle.
    #[serde(default = "yes")]
    pub borrow: bool,
    /// Whether the team may mark work as urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Maximum number of quick requests of the team in flight at one entry.
    #[serde(default = "concurrency")]
    pub concurrency: u32,
}

/// One service that handles quick requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Region of keys that don't name one (`region:key`).
    pub region: String,
    /// Maximum duration of one run, in milliseconds.
    #[serde(default = "run_ms")]
    pub run_ms: u64,
    /// Priority under overload: requests of a service with a higher rank are served first.
    #[serde(default)]
    pub rank: u8,
    /// Target latency, in milliseconds; slower answers count against the service level.
    #[serde(default = "objective_ms")]
    pub objective_ms: u64,
    /// Share of requests that must be answered within `objective_ms`, such as 0.999.
    #[serde(default = "objective")]
    pub objective: f64,
}

/// Scheduling policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Rule that places batch tasks on workers: `best-fit`, `least-loaded` or `first-fit`.
    pub batch: String,
    /// Share of a task's measured peak usage that is reserved on top of that peak when unused resources are
    /// reclaimed, up to the declared size.
    pub margin: f64,
    /// Whether declared but unused resources of batch tasks may be reclaimed for other batch tasks.
    pub reclaim: bool,
    /// Maximum number of quick requests queued at one rack.
    pub queue: u32,
    /// Share of a team's requests that may be retried, counted separately at each entry and each rack owner.
    pub retry_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            batch: "best-fit".to_owned(),
            margin: 0.25,
            reclaim: false,
            queue: 256,
            retry_share: 0.1,
        }
    }
}

fn yes() -> bool {
    true
}

fn workers_per_rack() -> u32 {
    8
}

fn concurrency() -> u32 {
    256
}

fn run_ms() -> u64 {
    1_000
}

fn objective_ms() -> u64 {
    250
}

fn objective() -> f64 {
    0.999
}
