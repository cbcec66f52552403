//! The rows that the system keeps in the store.
//!
//! All rows of a pool are in one part, so that a transaction may hold both what it writes and the owner's row:
//!
//! | table | key | written | holds |
//! |---|---|---|---|
//! | `jobs` | id | once, when a job is accepted, by the host that took it | [`pool::Job`] |
//! | `progress` | id | in groups, by the owner | [`pool::Progress`] |
//! | `cancels` | id | when a job is cancelled and the owner can't be asked | nothing |
//! | `owner` | `owner` | when the owner or its roster changes | [`OwnerRow`] |
//! | `hosts` | host | when a host starts or leaves | [`HostRow`] |

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Accepted jobs and cancels; followed by the owner.
pub(crate) const JOBS: &str = "jobs";
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
