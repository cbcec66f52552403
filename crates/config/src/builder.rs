//! Builds a configuration in Rust.

use resource::Raw as Size;

use crate::{Cell, Error, raw};

/// Builds a configuration step by step; [`Builder::build`] validates it.
#[derive(Clone, Debug)]
pub struct Builder {
    cell: raw::Cell,
}

impl Builder {
    /// Creates a cell without racks, whose workers have 16 cores and 64 GiB.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let worker = Size {
            cores: 16.0,
            memory_mib: 65_536,
            accelerators: 0,
        };
        let cell = raw::Cell {
            name: name.to_owned(),
            worker,
            workers_per_rack: 8,
            ..raw::Cell::default()
        };
        Self { cell }
    }

    /// Sets the resources that every worker offers to tasks.
    #[must_use]
    pub fn worker(mut self, cores: f64, memory_mib: u64, accelerators: u32) -> Self {
        self.cell.worker = Size {
            cores,
            memory_mib,
            accelerators,
        };
        self
    }

    /// Sets the number of workers in a full rack.
    #[must_use]
    pub fn workers_per_rack(mut self, n: u32) -> Self {
        self.cell.workers_per_rack = n;
        self
    }

    /// Adds a rack, and its region and data centre if they don't exist yet.
    #[must_use]
    pub fn rack(mut self, region: &str, data_centre: &str, rack: &str) -> Self {
        let regions = &mut self.cell.regions;
        let region_index = regions
            .iter()
            .position(|r| r.name == region)
            .unwrap_or_else(|| {
                regions.push(raw::Region {
                    name: region.to_owned(),
                    data_centres: Vec::new(),
                });
                regions.len() - 1
            });
        let centres = &mut regions[region_index].data_centres;
        let centre_index = centres
            .iter()
            .position(|c| c.name == data_centre)
            .unwrap_or_else(|| {
                centres.push(raw::DataCentre {
                    name: data_centre.to_owned(),
                    racks: Vec::new(),
                });
                centres.len() - 1
            });
        centres[centre_index].racks.push(rack.to_owned());
        self
    }

    /// Adds a team that may borrow idle resources and may mark work as urgent.
    #[must_use]
    pub fn team(mut self, name: &str, region: &str, cores: f64, memory_mib: u64) -> Self {
        self.cell.teams.push(raw::Team {
            name: name.to_owned(),
            region: region.to_owned(),
            quota: Size {
                cores,
                memory_mib,
                accelerators: 0,
            },
            borrow: true,
            urgent: true,
            concurrency: 256,
        });
        self
    }

    /// Adds a service with the default objective.
    #[must_use]
    pub fn service(mut self, name: &str, region: &str, run_ms: u64) -> Self {
        self.cell.services.push(raw::Service {
            name: name.to_owned(),
            region: region.to_owned(),
            run_ms,
            rank: 0,
            objective_ms: 250,
            objective: 0.999,
        });
        self
    }

    /// Sets the scheduling policy.
    #[must_use]
    pub fn policy(mut self, policy: raw::Policy) -> Self {
        self.cell.policy = policy;
        self
    }

    /// Returns the configuration as operators write it, not validated.
    #[must_use]
    pub fn into_raw(self) -> raw::Cell {
        self.cell
    }

    /// Validates the configuration.
    ///
    /// # Errors
    /// The first invalid entry, with its location.
    pub fn build(self) -> Result<Cell, Error> {
        Cell::try_from(self.cell)
    }
}
