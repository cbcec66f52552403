//! Writing a job's row, once.

use std::time::Duration;

use pool::Job;
use tokio::time::Instant;

use crate::outside::{Store, StoreError, Transaction};
use crate::rows::JOBS;

/// Pause before the same insert is tried again.
const AGAIN: Duration = Duration::from_millis(25);

/// What became of an insert.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Inserted {
    /// The row is there, by this call or an earlier one.
    There,
    /// The row is certainly not there, and won't be by this call.
    Refused,
    /// It can't be told.
    Unsure,
}

/// Inserts a job's row until it is known whether it is there, or time is up.
///
/// A lost answer leaves the insert in doubt: it may be carried out seconds later. From then on "refused" is not true any
/// more, whatever a further try says; only the row itself ends the doubt, since the same insert has no second effect.
pub(crate) async fn insert(
    store: &dyn Store,
    part: &str,
    job: &Job,
    until: Instant,
    mut doubt: bool,
) -> Inserted {
    let Ok(value) = serde_json::to_vec(job) else {
        return Inserted::Refused;
    };
    let transaction = Transaction {
        part: part.to_owned(),
        checks: vec![(JOBS.to_owned(), job.id.to_string(), 0)],
        puts: vec![(JOBS.to_owned(), job.id.to_string(), value)],
        deletes: Vec::new(),
    };
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return if doubt {
                Inserted::Unsure
            } else {
                Inserted::Refused
            };
        }
        match tokio::time::timeout(left, store.commit(&transaction)).await {
            Ok(Ok(_) | Err(StoreError::Conflict { .. })) => return Inserted::There,
            Ok(Err(StoreError::Refused { .. } | StoreError::Gone)) if !doubt => {
                return Inserted::Refused;
            }
            Ok(Err(StoreError::Refused { .. } | StoreError::Gone)) => {}
            Ok(Err(StoreError::Lost { .. })) | Err(_) => doubt = true,
        }
        tokio::time::sleep(AGAIN).await;
    }
}
