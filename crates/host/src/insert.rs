//! Writing a job's row, once, whatever the store does meanwhile.

use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use pool::Job;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::outside::{Store, StoreError, Transaction};
use crate::rows::{JOBS, JobRow, job_part, place_of};

/// After a refusal of an insert that is in doubt, it is tried again after this time.
const REFUSED: Duration = Duration::from_millis(40);

/// Where a job is, by its row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Place {
    /// The pool.
    pub pool: u32,
    /// The transaction that wrote the row.
    pub version: u64,
    /// It came there from another pool, so its row holds more than the job.
    pub moved: bool,
}

/// What became of an insert.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Inserted {
    /// The row is there, by this call or an earlier one. An earlier call may have chosen another pool than this one: the
    /// job belongs to the one that the row names.
    There(Place),
    /// The row is certainly not there, and won't be by this call.
    Refused,
    /// It can't be told.
    Unsure,
}

/// Inserts a job's row, for a pool, until it is known whether it is there, or time is up.
///
/// A lost answer leaves the insert in doubt: it may be carried out seconds later. From then on "refused" is not true any
/// more, whatever a further try says; only the row itself ends the doubt, since the same insert has no second effect.
/// That also makes it safe to send it again while an answer is awaited, after `again`, then twice that, and so on: the
/// first answer that tells of the row decides. `again` has to be well above the time in which the store answers now, or a
/// slow store gets several times the load.
pub async fn insert(
    store: &dyn Store,
    pool: u32,
    job: &Job,
    until: Instant,
    again: Duration,
    mut doubt: bool,
) -> Inserted {
    let row = JobRow {
        pool,
        job,
        moved: None,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return Inserted::Refused;
    };
    let transaction = Transaction {
        part: job_part(&job.id),
        checks: vec![(JOBS.to_owned(), job.id.to_string(), 0)],
        puts: vec![(JOBS.to_owned(), job.id.to_string(), value)],
        ..Transaction::default()
    };
    let mut calls = FuturesUnordered::new();
    let mut next = Instant::now();
    let mut gap = again;
    loop {
        let now = Instant::now();
        if now >= until {
            return if doubt || !calls.is_empty() {
                Inserted::Unsure
            } else {
                Inserted::Refused
            };
        }
        if now >= next {
            calls.push(store.commit(&transaction));
            next = now + gap;
            gap *= 2;
        }
        let answer = tokio::select! {
            Some(answer) = calls.next() => answer,
            () = tokio::time::sleep_until(next.min(until)) => continue,
        };
        match answer {
            Ok(version) => {
                return Inserted::There(Place {
                    pool,
                    version,
                    moved: false,
                });
            }
            Err(StoreError::Conflict { rows }) => {
                let found = rows.iter().find_map(|row| {
                    let place = place_of(row.value.as_deref()?)?;
                    Some(Place {
                        pool: place.pool,
                        version: row.version,
                        moved: place.moved.is_some(),
                    })
                });
                if let Some(found) = found {
                    return Inserted::There(found);
                }
                // It is there, but not where: the next answer may tell.
                doubt = true;
            }
            Err(StoreError::Lost { .. }) => doubt = true,
            Err(StoreError::Rejected { .. }) => {
                return if doubt || !calls.is_empty() {
                    Inserted::Unsure
                } else {
                    Inserted::Refused
                };
            }
            Err(StoreError::Refused { .. } | StoreError::Gone) => {
                if !doubt && calls.is_empty() {
                    return Inserted::Refused;
                }
                next = next.max(Instant::now() + REFUSED);
            }
        }
    }
}
