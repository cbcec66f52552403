//! Rows in the store.
//!
//! All rows that the owner of a pool writes are in one part, so that a transaction can contain both its writes and a condition on
//! the owner's row. A part executes one transaction at a time, so jobs are spread by id over parts of their own: with the store
//! fifty times slower than usual, a single part would accept fewer jobs a second than arrive.
//!
//! | table | part | key | written | content |
//! |---|---|---|---|---|
//! | `jobs` | by id, one of 64 | id | by the host that accepts the job; by the owner of a pool when it transfers the job to another pool | [`JobRow`] |
//! | `jobs` | by id, one of 64 | id | by the host that answers the cancellation of an id that no job has | [`crate::withdrawal::Withdrawal`] |
//! | `jobs` | by id, one of 64 | `!` and id | when a job is cancelled while the owner can't be reached | nothing |
//! | `progress` | the pool's | id | in batches, by the owner | [`pool::Progress`] |
//! | `owner` | the pool's | `owner` | when the owner or its successors change | [`OwnerRow`] |
//! | `roster` | the pool's | `roster` | when the owner or its workers change, and after a write without an answer | [`RosterRow`] |
//! | `quota` | the pool's | name of a customer | by the owner, when units of the customer's limit move between pools | [`crate::quota_parts::QuotaRow`] |
//! | `plan` | `common` | `plan` | by the owner of pool 0, when a rack is seen for the first time | [`crate::PoolMap`] |
//!
//! The part of a pool is `pool-` and its number.

use std::net::SocketAddr;

use pool::CustomerId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::access::Caller;

/// Accepted jobs and cancellations; each owner follows it for the jobs of its pool.
///
/// All pools share one table: whether a job has been accepted must not depend on the pool that a host would choose for it.
pub(crate) const JOBS: &str = "jobs";
/// Number of parts that jobs are spread over. A store that is 50 times slower than usual executes 6 transactions a second in a
/// part, so 64 parts accept about 400 a second: four times the peak rate of the largest deployment. A new owner reads each part
/// once.
const JOB_PARTS: u64 = 64;

/// The part that holds a job's row.
pub(crate) fn job_part(id: &str) -> String {
    format!("jobs-{}", xxh3_64(id.as_bytes()) % JOB_PARTS)
}

/// All parts that hold rows of jobs.
pub(crate) fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|part| format!("jobs-{part}"))
}

/// Progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// Prefix of the keys of cancellations, followed by the job's id. They share the table of jobs so that one feed delivers both.
pub(crate) const CANCEL_PREFIX: &str = "!";
/// The workers that a pool's owner may use.
pub(crate) const ROSTER: &str = "roster";
/// Units of the customers' limits that pools gave to each other.
pub(crate) const QUOTA: &str = "quota";
/// The owner of a pool.
pub(crate) const OWNER: &str = "owner";
/// The pool map.
pub(crate) const POOL_MAP: &str = "plan";
/// The part of rows that belong to no pool.
pub(crate) const COMMON: &str = "common";

/// The part that holds the rows of a pool.
pub(crate) fn pool_part(pool: u32) -> String {
    format!("pool-{pool}")
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobRow<J> {
    /// The pool that the job is in.
    pub pool: u32,
    /// The job as its caller sent it.
    pub job: J,
    /// Set if the job came to the pool with progress: it was transferred from another pool, or cancelled before it was submitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<JobHistory>,
}

/// History of a job before it came to its pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobHistory {
    /// The pools that the job was in before. It never returns to one of them, whose owner might still receive an older version
    /// of the row.
    pub from: Vec<u32>,
    /// Progress of the job when it came to the pool.
    pub progress: pool::Progress,
}

/// The fields of a job that say who may access it, and which owners may have started it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobAccess {
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Customer that the job belongs to; empty for none.
    #[serde(default)]
    pub customer: CustomerId,
    /// Epoch of the pool's owner as known to the accepting host; 0 if it knew none.
    #[serde(default)]
    pub epoch: u64,
}

/// The fields of a job's row that say which pool it is in and who may access it, without the rest of the job.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct JobRowHeader {
    /// The pool that the job is in.
    pub pool: u32,
    /// Who may access the job.
    pub job: JobAccess,
    /// Set if the job came to the pool with progress.
    #[serde(default)]
    pub moved: Option<JobHistory>,
}

impl JobRowHeader {
    /// Whether this caller may access the job.
    pub(crate) fn is_accessible_to(&self, caller: &Caller) -> bool {
        caller.may_access(&self.job.customer, &self.job.queue)
    }
}

/// Parses the pool of a job, and who may access it, from the value of its row.
pub(crate) fn job_row_header(value: &[u8]) -> Option<JobRowHeader> {
    serde_json::from_slice(value).ok()
}

/// The owner of a pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OwnerRow {
    /// Name of the owner's host.
    pub host: String,
    /// Address for connections of other hosts.
    pub address: SocketAddr,
    /// Increases with every change of owner; the fencing token of the owner's commands.
    pub epoch: u64,
    /// Start time of the host process in Unix milliseconds, which distinguishes it from earlier ones of the same name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Hosts that should take the pool over when the owner is lost, the most suitable first.
    #[serde(rename = "heirs")]
    pub successors: Vec<Successor>,
}

/// A host that may take over a pool.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Successor {
    /// Name of the host.
    pub host: String,
    /// Address for connections of other hosts.
    pub address: SocketAddr,
}

/// The workers that an owner may use. Create it with [`RosterRow::new`], which bounds its size.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct RosterRow {
    /// Number of writes of the row by this owner.
    pub serial: u64,
    /// Workers that may be given tasks, and unavailable ones for which `unavailable` has no space. A new owner waits until each of
    /// them has answered or its lease has expired.
    pub roster: Vec<String>,
    /// Unavailable workers with the runs that may still be executing there. A new owner holds back only these tasks.
    #[serde(rename = "silent")]
    pub unavailable: Vec<pool::UnavailableWorker>,
}

impl RosterRow {
    /// Creates a row of at most `max_bytes` bytes, unless the ids of the workers alone take more.
    ///
    /// Unavailable workers are listed with their runs, in the given order, as long as there is space. The others are added to the
    /// roster, where each takes little more than its id; a new owner then knows less about them and waits longer.
    pub(crate) fn new(
        serial: u64,
        roster: impl IntoIterator<Item = String>,
        unavailable: Vec<pool::UnavailableWorker>,
        max_bytes: usize,
    ) -> Self {
        let mut row = Self {
            serial,
            roster: roster.into_iter().collect(),
            unavailable: Vec::new(),
        };
        let ids: usize = unavailable
            .iter()
            .map(|entry| encoded_len(&entry.worker))
            .sum();
        let mut left = max_bytes.saturating_sub(encoded_len(&row) + ids);
        for worker in unavailable {
            let more = encoded_len(&worker) - encoded_len(&worker.worker);
            if more <= left {
                left -= more;
                row.unavailable.push(worker);
            } else {
                row.roster.push(worker.worker.to_string());
            }
        }
        row.roster.sort();
        row.roster.dedup();
        row
    }
}

/// Encoded size of an entry of a JSON list in bytes, including the comma after it.
fn encoded_len(entry: &impl Serialize) -> usize {
    serde_json::to_vec(entry).map_or(0, |bytes| bytes.len() + 1)
}
