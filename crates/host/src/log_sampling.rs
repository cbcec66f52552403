//! Sampling of the jobs that are logged in full.
//!
//! Hundreds of tasks start and end each second. A log line for each would take more of a host's time than scheduling them, and
//! lines beyond the log's rate limit are dropped at random. So each task is logged for a fixed share of the jobs only; for all
//! others there is one line per step, one per job, and one for each unusual event.

use xxhash_rust::xxh3::xxh3_64;

/// One in this many jobs is logged in full.
const SAMPLING_INTERVAL: u64 = 16;

/// Whether each task of a job is logged. It depends on the id alone, so all hosts agree.
///
/// ```
/// let sampled = (0..1_600).filter(|id| host::log_sampling::is_logged_in_full(&format!("{id:016x}")));
/// assert!((50..150).contains(&sampled.count()));
/// ```
#[must_use]
pub fn is_logged_in_full(job: &str) -> bool {
    xxh3_64(job.as_bytes()).is_multiple_of(SAMPLING_INTERVAL)
}
