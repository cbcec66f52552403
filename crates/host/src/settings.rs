//! What a host is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

/// Where the store keeps what others write.
#[derive(Clone, Debug)]
pub struct Places {
    /// Table and key of the configuration.
    pub catalog: (String, String),
    /// Table of the workers.
    pub workers: String,
}

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, unique in the system.
    pub id: String,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Its share of a processor.
    pub processors: f64,
    /// Its line, in Mbit/s.
    pub line: f64,
    /// Where the store keeps what others write.
    pub places: Places,
    /// A pool's options.
    pub pool: pool::Options,
    /// How many workers a pool has, about; more workers are divided over more pools.
    pub pool_workers: u32,
    /// Most bytes of a row's value in the store.
    pub row_bytes: usize,
    /// After SIGTERM the process is killed this much later.
    pub grace: Duration,
    /// A configuration has to be in force this long after it was accepted.
    pub catalog_within: Duration,
}
