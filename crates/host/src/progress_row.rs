//! Encoding of a job's progress for its row, within the store's bound.
//!
//! The store refuses a row that is too large, and the ends that the progress contains are acknowledged only once it is stored. So what
//! doesn't fit is left out, in this order: checkpoints, which only save work; then, although the row is compressed, crash records, without
//! which the next owner has to find out anew which tasks crash their workers. The rest says which tasks must not start again.

use std::io::{Read as _, Write as _};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use pool::{JobId, Progress, StepProgress};
use snafu::{ResultExt as _, Snafu, ensure};

/// Maximum size of the progress in a compressed row, in bytes.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Why progress can't be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum ProgressError {
    /// It can't be encoded as JSON, or the row isn't JSON.
    #[snafu(display("progress can't be encoded or parsed as JSON: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// It can't be compressed or decompressed.
    #[snafu(display("compression of progress failed: {source}"))]
    Compression {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The row holds more than the limit.
    #[snafu(display("progress is larger than {MAX_UNPACKED_BYTES} bytes"))]
    TooLarge,
}

/// Progress as it is stored: as JSON, or if that is too large, as compressed JSON.
#[derive(Debug)]
pub struct ProgressRow {
    /// The value of the row.
    pub value: Vec<u8>,
    /// Number of checkpoints that were left out.
    pub left_out: usize,
    /// Number of tasks whose crash records were left out.
    pub crashes_left_out: usize,
}

impl ProgressRow {
    /// Encodes progress. The value exceeds `max_bytes` only if it does so compressed, without checkpoints and crash records.
    ///
    /// # Errors
    ///
    /// Fails if the progress can't be encoded as JSON, or compressed.
    pub fn encode(progress: &Progress, max_bytes: usize) -> Result<Self, ProgressError> {
        let complete = to_json(progress)?;
        let excess = complete.len().saturating_sub(max_bytes);
        let mut row = Self {
            value: complete,
            left_out: 0,
            crashes_left_out: 0,
        };
        if excess == 0 {
            return Ok(row);
        }
        let mut shorter = progress.clone();
        row.left_out = remove_checkpoints(&mut shorter, excess)?;
        row.value = to_json(&shorter)?;
        if row.value.len() > max_bytes {
            row.value = compress(&row.value)?;
        }
        if row.value.len() > max_bytes {
            row.crashes_left_out = remove_crash_records(&mut shorter);
            row.value = compress(&to_json(&shorter)?)?;
        }
        Ok(row)
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Fails if it is neither JSON nor compressed JSON, or too large.
    pub fn decode(value: &[u8]) -> Result<Progress, ProgressError> {
        if value.first() == Some(&b'{') {
            return serde_json::from_slice(value).context(JsonSnafu);
        }
        let mut json = Vec::new();
        let mut decoder = ZlibDecoder::new(value).take(MAX_UNPACKED_BYTES + 1);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        ensure!(json.len() as u64 <= MAX_UNPACKED_BYTES, TooLargeSnafu);
        serde_json::from_slice(&json).context(JsonSnafu)
    }

    /// Encodes the progress of a job, and logs what doesn't fit.
    pub(crate) fn of_job(id: &JobId, progress: &Progress, max_bytes: usize) -> Option<Self> {
        let row = match Self::encode(progress, max_bytes) {
            Ok(row) => row,
            Err(error) => {
                log::error!(job = &**id, error:% = error; "progress of a job can't be encoded");
                return None;
            }
        };
        if row.value.len() > max_bytes {
            log_excess(id, progress, row.value.len());
        }
        if row.left_out + row.crashes_left_out > 0 {
            metrics::counter!("lentilyoke_checkpoints_left_out_total")
                .increment(row.left_out as u64);
            metrics::counter!("lentilyoke_crash_records_left_out_total")
                .increment(row.crashes_left_out as u64);
            log::info!(
                job = &**id, left_out = row.left_out, crashes = row.crashes_left_out, bytes = row.value.len();
                "checkpoints left out of a row"
            );
        }
        Some(row)
    }
}

fn to_json(progress: &Progress) -> Result<Vec<u8>, ProgressError> {
    serde_json::to_vec(progress).context(JsonSnafu)
}

fn compress(json: &[u8]) -> Result<Vec<u8>, ProgressError> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(json).context(CompressionSnafu)?;
    encoder.finish().context(CompressionSnafu)
}

fn steps(progress: &mut Progress) -> impl Iterator<Item = &mut StepProgress> {
    progress.open.iter_mut().flat_map(|it| &mut it.steps)
}

/// Removes checkpoints that take this many bytes as JSON, as far as there are any; returns how many.
fn remove_checkpoints(progress: &mut Progress, mut bytes: usize) -> Result<usize, ProgressError> {
    let mut removed = 0;
    for step in steps(progress) {
        while bytes > 0
            && let Some(checkpoint) = step.checkpoints.pop()
        {
            let separator = usize::from(!step.checkpoints.is_empty());
            let json = serde_json::to_vec(&checkpoint).context(JsonSnafu)?;
            bytes = bytes.saturating_sub(json.len() + separator);
            removed += 1;
        }
    }
    Ok(removed)
}

/// Removes all crash records; returns of how many tasks.
fn remove_crash_records(progress: &mut Progress) -> usize {
    let mut tasks = 0;
    for step in steps(progress) {
        tasks += step.crashed.len();
        step.crashed.clear();
        step.unconfirmed.clear();
        step.unresolved.clear();
    }
    tasks
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
