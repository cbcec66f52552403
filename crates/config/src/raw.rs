//! The configuration as operators write it: JSON, nothing checked yet.

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
    /// What every worker offers to tasks, beside its executor.
    pub worker: Size,
    /// Workers in a full rack.
    #[serde(default = "workers_per_rack")]
    pub workers_per_rack: u32,
    /// Teams and their quotas.
    pub teams: Vec<Team>,
    /// Services that take quick requests.
    #[serde(default)]
    pub services: Vec<Service>,
    /// How the cell decides.
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
    /// Region that looks after the team's jobs.
    pub region: String,
    /// What the team's tasks may take when others want their share as well.
    pub quota: Size,
    /// Whether the team may use what others leave idle.
    #[serde(default = "yes")]
    pub borrow: bool,
    /// Whether the team may mark work as urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Quick requests of the team that one entry carries at once, at most.
    #[serde(default = "concurrency")]
    pub concurrency: u32,
}

/// One service that takes quick requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Region of keys that do not name one (`region:key`).
    pub region: String,
    /// Longest time one run may take, in milliseconds.
    #[serde(default = "run_ms")]
    pub run_ms: u64,
    /// Rank in a rush: a higher one is served first.
    #[serde(default)]
    pub rank: u8,
    /// Answers slower than this count against the service level, in milliseconds.
    #[serde(default = "objective_ms")]
    pub objective_ms: u64,
    /// Share of requests that must be done within the objective, such as 0.999.
    #[serde(default = "objective")]
    pub objective: f64,
}

/// How the cell decides.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Rule that puts batch tasks on workers: `best-fit`, `least-loaded` or `first-fit`.
    pub batch: String,
    /// Share of the declared size that reclaiming must leave above measured usage.
    pub margin: f64,
    /// Whether idle declared resources of batch work may be given to other batch work.
    pub reclaim: bool,
    /// Quick requests that one rack keeps waiting, at most.
    pub queue: u32,
    /// Retries that one caller's requests may cause, as a share of its requests.
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
