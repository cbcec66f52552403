//! The rows that the system keeps in the store.
//!
//! What the owner writes is in one part, so that a transaction may hold both the writes and the owner's row as a condition.
//! A part carries out one transaction after another, so jobs are spread over parts of their own by their ids: when the
//! store is fifty times slower than usual, one part for all would take fewer jobs a second than come.
//!
//! | table | part | key | written | holds |
//! |---|---|---|---|---|
//! | `jobs` | by id, one of 64 | id | once, when a job is accepted, by the host that took it | [`pool::Job`] |
//! | `jobs` | by id, one of 64 | `!` and id | when a job is cancelled and the owner can't be asked | nothing |
//! | `progress` | the pool's | id | in groups, by the owner | [`pool::Progress`] |
//! | `owner` | the pool's | `owner` | when the owner or its roster changes | [`OwnerRow`] |
//! | `hosts` | the pool's | host | when a host starts | [`HostRow`] |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Accepted jobs and cancels; followed by the owner.
pub(crate) const JOBS: &str = "jobs";
/// Number of parts that jobs are spread over. A store that is 50 times slower carries out 6 transactions a second in a
/// part, so 64 parts take some 400 a second: four times the rushes of the largest deployment so far. A new owner reads
/// each part once.
const JOB_PARTS: u64 = 64;

/// The part in which a job's row is.
pub(crate) fn job_part(id: &str) -> String {
    format!("jobs-{}", xxh3_64(id.as_bytes()) % JOB_PARTS)
}

/// All parts in which rows of jobs are.
pub(crate) fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|part| format!("jobs-{part}"))
}

/// Progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// Cancels, in the table of jobs so that one feed tells both: key of the job after this mark.
pub(crate) const CANCEL: &str = "!";
/// The owner of a pool.
pub(crate) const OWNER: &str = "owner";
/// Hosts.
pub(crate) const HOSTS: &str = "hosts";

/// Who owns a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OwnerRow {
    /// The host.
    pub host: String,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Rises with every change; the fencing token of its orders.
    pub epoch: u64,
    /// Tells this life of the host from others.
    pub life: u64,
    /// Counts the writes of this owner.
    pub serial: u64,
    /// Workers that may be given something.
    pub roster: Vec<String>,
    /// Workers that can't be reached, with what may run there.
    #[serde(default)]
    pub silent: Vec<pool::Silent>,
}

/// A host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct HostRow {
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Its share of a processor.
    pub processors: f64,
    /// Start of its life in Unix milliseconds.
    pub life: u64,
}
