//! The rows that the system keeps in the store.
//!
//! What the owner writes is in one part, so that a transaction may hold both the writes and the owner's row as a condition.
//! A part carries out one transaction after another, so jobs are spread over parts of their own by their ids: when the
//! store is fifty times slower than usual, one part for all would take fewer jobs a second than come.
//!
//! | table | part | key | written | holds |
//! |---|---|---|---|---|
//! | `jobs` | by id, one of 64 | id | when a job is accepted, by the host that took it; when it goes to another pool, by the owner of the pool that it leaves | [`JobRow`] |
//! | `jobs` | by id, one of 64 | `!` and id | when a job is cancelled and the owner can't be asked | nothing |
//! | `progress` | the pool's | id | in groups, by the owner | [`pool::Progress`] |
//! | `owner` | the pool's | `owner` | when the owner or its heirs change | [`OwnerRow`] |
//! | `roster` | the pool's | `roster` | when the owner or its workers change, and after a write without an answer | [`RosterRow`] |
//! | `plan` | `common` | `plan` | when a rack is seen for the first time, by the owner of pool 0 | [`crate::Plan`] |
//!
//! The pool's part is `pool-` and its number.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Accepted jobs and cancels; followed by the owners of all pools, each for its own.
///
/// One table for all: whether a job is accepted already must not depend on the pool that a host would choose for it.
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
/// The workers that a pool's owner may use.
pub(crate) const ROSTER: &str = "roster";
/// The owner of a pool.
pub(crate) const OWNER: &str = "owner";
/// Which rack belongs to which pool.
pub(crate) const PLAN: &str = "plan";
/// The part of the rows that belong to no pool.
pub(crate) const COMMON: &str = "common";

/// The part of the rows of a pool.
pub(crate) fn pool_part(pool: u32) -> String {
    format!("pool-{pool}")
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobRow<J> {
    /// The pool that it is in.
    pub pool: u32,
    /// As its caller sent it.
    pub job: J,
    /// How it came to its pool, if that is not the first one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<Moved>,
}

/// A job that went from pool to pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Moved {
    /// The pools that it was in before. It never comes back to one: that pool's owner may be told of the row as it was.
    pub from: Vec<u32>,
    /// How far it had come.
    pub progress: pool::Progress,
}

/// What is read of a job's row to find out whose it is.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobPlace {
    /// The pool that it is in.
    pub pool: u32,
    /// How it came there, if that is not the first one.
    #[serde(default)]
    pub moved: Option<Moved>,
}

/// Where a job's row says that it is.
pub(crate) fn place_of(value: &[u8]) -> Option<JobPlace> {
    serde_json::from_slice(value).ok()
}

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
    /// Hosts that are to take the pool when the owner is lost, the best placed first.
    pub heirs: Vec<Heir>,
}

/// A host that may take a pool.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Heir {
    /// Its name.
    pub host: String,
    /// Where other hosts reach it.
    pub address: SocketAddr,
}

/// Which workers an owner may use. Use [`RosterRow::new`], which bounds its size.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RosterRow {
    /// Counts the writes of this owner.
    pub serial: u64,
    /// Workers that may be given something, and those that can't be reached for which `silent` has no room. A new owner
    /// waits until it has heard from them, or until their leases have lapsed.
    pub roster: Vec<String>,
    /// Workers that can't be reached, with what may run there. A new owner holds back only these tasks.
    pub silent: Vec<pool::UnavailableWorker>,
}

impl RosterRow {
    /// A row of at most `most` bytes, unless the workers' ids alone take more.
    ///
    /// Silent workers are listed with their runs, in the order given, as far as there is room. The others go to the roster,
    /// which takes little more than an id: a new owner then knows less, and waits longer.
    pub(crate) fn new(
        serial: u64,
        roster: impl IntoIterator<Item = String>,
        silent: Vec<pool::UnavailableWorker>,
        most: usize,
    ) -> Self {
        let mut row = Self {
            serial,
            roster: roster.into_iter().collect(),
            silent: Vec::new(),
        };
        let ids: usize = silent.iter().map(|it| encoded_len(&it.worker)).sum();
        let mut left = most.saturating_sub(encoded_len(&row) + ids);
        for worker in silent {
            let more = encoded_len(&worker) - encoded_len(&worker.worker);
            if more <= left {
                left -= more;
                row.silent.push(worker);
            } else {
                row.roster.push(worker.worker.to_string());
            }
        }
        row.roster.sort();
        row.roster.dedup();
        row
    }
}

/// Bytes of an entry of a list, with the comma after it.
fn encoded_len(entry: &impl Serialize) -> usize {
    serde_json::to_vec(entry).map_or(0, |bytes| bytes.len() + 1)
}
