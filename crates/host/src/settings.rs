//! Settings that a host is started with.

use std::net::SocketAddr;
use std::time::Duration;

use crate::access::Revocation;

/// Locations of the rows that other systems write into the store.
#[derive(Clone, Debug)]
pub struct StoreTables {
    /// Table and key of the configuration.
    pub catalog: (String, String),
    /// Table of the workers.
    pub workers: String,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique in the deployment.
    pub id: String,
    /// Address on which it accepts connections of other hosts.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Name of its region.
    pub region: String,
    /// Its share of a processor.
    pub processors: f64,
    /// Bandwidth of its network link, in Mbit/s.
    pub link_mbps: f64,
    /// Locations of the rows that other systems write into the store.
    pub store_tables: StoreTables,
    /// Time between two heartbeats of a worker in the store.
    pub worker_heartbeat: Duration,
    /// Options of the pools that it owns.
    pub pool: pool::Options,
    /// Target number of workers in a pool; a larger deployment is divided into several pools.
    pub workers_per_pool: u32,
    /// Maximum size of a row's value in the store, in bytes.
    pub max_row_bytes: usize,
    /// Time between SIGTERM and the kill of the process.
    pub shutdown_grace: Duration,
    /// Time within which an accepted configuration must be in force on all hosts.
    pub catalog_deadline: Duration,
    /// How keys that were removed from the configuration are treated.
    pub revocation: Revocation,
}
