//! Which jobs are told in full in the log.
//!
//! Hundreds of tasks start and end in a second. One line for each would take more of a host's time than the decisions, and lines
//! beyond the log's bound are lost at random. So a fixed share of the jobs is told task by task; of all others the log has a line
//! for each step, one for the job, and what was out of the ordinary.

use xxhash_rust::xxh3::xxh3_64;

/// One in this many jobs is told in full.
const SHARE: u64 = 16;

/// Whether each task of a job is told. All hosts agree on it.
///
/// ```
/// let told = (0..1_600).filter(|id| host::sample::is_told_in_full(&format!("{id:016x}")));
/// assert!((50..150).contains(&told.count()));
/// ```
#[must_use]
pub fn is_told_in_full(job: &str) -> bool {
    xxh3_64(job.as_bytes()).is_multiple_of(SHARE)
}
