//! Encoding of a job's progress for its row, within the store's bound.
//!
//! The store refuses a row that is too large. As ends are acknowledged only once the progress that contains them is stored, one such
//! row would keep the workers from forgetting any later end. Checkpoints take most of the space and only save work, so they are left
//! out as far as necessary.

use pool::{JobId, Progress, StepProgress};

/// Progress as it is stored.
#[derive(Debug)]
pub struct ProgressRow {
    /// The value of the row.
    pub value: Vec<u8>,
    /// Number of checkpoints that were left out.
    pub left_out: usize,
}

impl ProgressRow {
    /// Encodes progress. The value exceeds `max_bytes` only if it does so without any checkpoint.
    ///
    /// # Errors
    ///
    /// Fails if the progress can't be encoded as JSON.
    pub fn encode(progress: &Progress, max_bytes: usize) -> serde_json::Result<Self> {
        let value = serde_json::to_vec(progress)?;
        let mut excess = value.len().saturating_sub(max_bytes);
        if excess == 0 {
            return Ok(Self { value, left_out: 0 });
        }
        let mut shorter = progress.clone();
        let mut left_out = 0;
        let steps = shorter.open.iter_mut().flat_map(|it| &mut it.steps);
        for step in steps {
            while excess > 0
                && let Some(checkpoint) = step.checkpoints.pop()
            {
                let separator = usize::from(!step.checkpoints.is_empty());
                let bytes = serde_json::to_vec(&checkpoint)?.len() + separator;
                excess = excess.saturating_sub(bytes);
                left_out += 1;
            }
        }
        let value = serde_json::to_vec(&shorter)?;
        Ok(Self { value, left_out })
    }

    /// Encodes the progress of a job, and logs what doesn't fit.
    pub(crate) fn of_job(id: &JobId, progress: &Progress, max_bytes: usize) -> Option<Self> {
        let row = Self::encode(progress, max_bytes).ok()?;
        if row.value.len() > max_bytes {
            log_excess(id, progress, row.value.len());
        }
        if row.left_out > 0 {
            metrics::counter!("lentilyoke_checkpoints_left_out_total")
                .increment(row.left_out as u64);
            log::info!(job = &**id, left_out = row.left_out, bytes = row.value.len(); "checkpoints left out of a row");
        }
        Some(row)
    }
}

/// Logs that progress doesn't fit a row, and what it consists of.
fn log_excess(id: &JobId, progress: &Progress, bytes: usize) {
    let steps = || progress.open.iter().flat_map(|it| &it.steps);
    let count = |entries: fn(&StepProgress) -> usize| steps().map(entries).sum::<usize>();
    metrics::counter!("lentilyoke_rows_too_large_total").increment(1);
    log::warn!(
        job = &**id, bytes = bytes, over = progress.over.len() + progress.over_ranges.len(),
        open = progress.open.len(), failed = count(|step| step.failed.len()),
        crashed = count(|step| step.crashed.len()), unconfirmed = count(|step| step.unconfirmed.len()),
        unresolved = count(|step| step.unresolved.len());
        "progress of a job doesn't fit a row"
    );
}
