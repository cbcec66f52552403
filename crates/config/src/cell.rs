//! A checked configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::raw;

/// A checked configuration; made by `Cell::try_from` from a [`raw::Cell`].
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
    /// What every worker offers to tasks.
    pub worker: Size,
    /// Workers in a full rack.
    pub workers_per_rack: u32,
    /// Teams by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// How the cell decides.
    pub policy: Policy,
    pub(crate) raw: raw::Cell,
}

/// Where a rack stands.
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
    /// Region that looks after the team's jobs.
    pub region: id::Region,
    /// What the team's tasks may take when others want their share as well.
    pub quota: Size,
    /// Whether the team may use what others leave idle.
    pub borrow: bool,
    /// Whether the team may mark work as urgent.
    pub urgent: bool,
    /// Quick requests of the team that one entry carries at once, at most.
    pub concurrency: u32,
}

/// One service that takes quick requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Region of keys that do not name one.
    pub region: id::Region,
    /// Longest time one run may take.
    pub run: Duration,
    /// Rank in a rush: a higher one is served first.
    pub rank: u8,
    /// Answers slower than this count against the service level.
    pub latency: Duration,
    /// Share of requests that must be done within the objective.
    pub objective: f64,
}

/// How the cell decides.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Rule that puts batch tasks on workers.
    pub batch: Pack,
    /// Share of the declared size that reclaiming must leave above measured usage.
    pub margin: f64,
    /// Whether idle declared resources of batch work may be given to other batch work.
    pub reclaim: bool,
    /// Quick requests that one rack keeps waiting, at most.
    pub queue: usize,
    /// Retries that one caller's requests may cause, as a share of its requests.
    pub retry_share: f64,
}

/// A rule that puts batch tasks on workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pack {
    /// The worker that is left with the least room.
    BestFit,
    /// The first worker, by name, with room.
    FirstFit,
    /// The worker with the most room.
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

    /// What all workers offer together, if every rack is full.
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
