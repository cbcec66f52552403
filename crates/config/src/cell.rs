//! A validated configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::raw;

/// A validated configuration; created from a [`raw::Cell`] by `Cell::try_from`.
///
/// ```
/// use config::{Builder, Cell};
///
/// let cell: Cell = Builder::new("small")
///     .rack("north", "north-1", "n1")
///     .team("checks", "north", 8.0, 16_384)
///     .build()
///     .unwrap();
/// assert_eq!(cell.racks.len(), 1);
/// assert!(cell.team("checks").is_some());
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "raw::Cell", into = "raw::Cell")]
pub struct Cell {
    /// Name of the cell.
    pub name: String,
    /// Racks by name.
    pub racks: BTreeMap<id::Rack, Rack>,
    /// Resources that every worker offers to tasks.
    pub worker: Size,
    /// Number of workers in a full rack.
    pub workers_per_rack: u32,
    /// Teams by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Scheduling policy.
    pub policy: Policy,
    pub(crate) raw: raw::Cell,
}

/// Location of a rack.
#[derive(Clone, Debug, PartialEq)]
pub struct Rack {
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub data_centre: id::DataCentre,
}

/// One team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Region whose racks own the team's jobs.
    pub region: id::Region,
    /// Resources guaranteed to the team when other teams use their quotas too.
    pub quota: Size,
    /// Whether the team may use resources that other teams leave idle.
    pub borrow: bool,
    /// Whether the team may mark work as urgent.
    pub urgent: bool,
    /// Maximum number of quick requests of the team in flight at one entry.
    pub concurrency: u32,
}

/// One service that handles quick requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Region of keys that don't name one.
    pub region: id::Region,
    /// Maximum duration of one run.
    pub max_run: Duration,
    /// Priority under overload: requests of a service with a higher rank are served first.
    pub rank: u8,
    /// Target latency; slower answers count against the service level.
    pub target_latency: Duration,
    /// Share of requests that must be answered within the target latency.
    pub objective: f64,
}

/// Scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Rule that places batch tasks on workers.
    pub batch: PackingRule,
    /// Share of a task's measured peak usage that is reserved on top of that peak when unused resources are
    /// reclaimed, up to the declared size.
    pub margin: f64,
    /// Whether declared but unused resources of batch tasks may be reclaimed for other batch tasks.
    pub reclaim: bool,
    /// Maximum number of quick requests queued at one rack.
    pub queue: usize,
    /// Share of a team's requests that may be retried, counted separately at each entry and each rack owner.
    pub retry_share: f64,
}

/// A rule that places batch tasks on workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PackingRule {
    /// The worker with the least capacity left over.
    BestFit,
    /// The first worker, by name, where the task fits.
    FirstFit,
    /// The worker with the most capacity left over.
    LeastLoaded,
}

impl Cell {
    /// The team of this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The region of a rack.
    #[must_use]
    pub fn region_of(&self, rack: &str) -> Option<&str> {
        self.racks.get(rack).map(|r| r.region.as_str())
    }

    /// Names of the racks of one region.
    pub fn racks_in<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a id::Rack> {
        self.racks
            .iter()
            .filter(move |(_, r)| r.region == region)
            .map(|(name, _)| name)
    }

    /// Total resources of all workers, if every rack has its full number of workers.
    #[must_use]
    pub fn capacity(&self) -> Size {
        self.worker
            .times(u64::from(self.workers_per_rack) * self.racks.len() as u64)
    }

    /// The configuration as operators write it.
    #[must_use]
    pub fn to_raw(&self) -> &raw::Cell {
        &self.raw
    }
}

impl From<Cell> for raw::Cell {
    fn from(cell: Cell) -> Self {
        cell.raw
    }
}
