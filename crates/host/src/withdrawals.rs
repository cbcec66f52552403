//! The withdrawn ids of a pool, whose rows its owner deletes after the retention period.

use std::sync::Mutex;

use log::warn;
use pool::{JobId, Ms};
use rustc_hash::FxHashMap;

use crate::interfaces::{Row, Store, StoreError, Transaction};
use crate::rows::{CANCEL_PREFIX, JOBS, job_part};
use crate::sync::lock;
use crate::withdrawal::Withdrawal;

/// Maximum number of rows that are deleted in one transaction; each takes two of the 100 entries that the store accepts.
const MAX_DELETED: usize = 50;

/// A withdrawal that the owner of its pool knows.
#[derive(Clone, Copy, Debug)]
struct KnownWithdrawal {
    /// The transaction that wrote its row.
    version: u64,
    /// When the owner learned of it.
    since: Ms,
}

/// The withdrawals whose rows the owner of a pool has to delete.
#[derive(Debug, Default)]
pub struct Withdrawals {
    known: FxHashMap<JobId, KnownWithdrawal>,
}

impl Withdrawals {
    /// Number of withdrawals whose rows are to be deleted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no row is to be deleted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Applies rows of the table of jobs: remembers the withdrawals of this pool, and forgets those that were replaced or deleted.
    pub fn apply(&mut self, now: Ms, pool_number: u32, rows: &[Row]) {
        for row in rows.iter().filter(|row| !is_cancellation(row)) {
            let found = row.value.as_deref().and_then(Withdrawal::parse);
            if found.is_some_and(|found| found.pool == pool_number) {
                self.remember(now, &row.key, row.version);
            } else if !self.known.is_empty() {
                self.known.remove(row.key.as_str());
            }
        }
    }

    /// Remembers a withdrawal, which may be known already.
    fn remember(&mut self, now: Ms, id: &str, version: u64) {
        let first = KnownWithdrawal {
            version,
            since: now,
        };
        let known = self.known.entry(id.into()).or_insert(first);
        if known.version != version {
            *known = first;
        }
    }

    /// The ids that were withdrawn longer ago than the retention period, with the versions of their rows, by part of the table.
    fn expired(&self, now: Ms, retention: Ms) -> FxHashMap<String, Vec<(JobId, u64)>> {
        let mut parts: FxHashMap<String, Vec<(JobId, u64)>> = FxHashMap::default();
        for (id, known) in &self.known {
            if now.saturating_sub(known.since) > retention {
                let rows = parts.entry(job_part(id)).or_default();
                rows.push((id.clone(), known.version));
            }
        }
        parts
    }
}

fn is_cancellation(row: &Row) -> bool {
    row.key.starts_with(CANCEL_PREFIX)
}

/// Deletes the rows of withdrawals that are older than the retention period. Those that could not be deleted are tried again by the
/// next call.
pub async fn delete_expired(
    store: &dyn Store,
    withdrawals: &Mutex<Withdrawals>,
    now: Ms,
    retention: Ms,
) {
    let expired = lock(withdrawals).expired(now, retention);
    for (part, rows) in expired {
        for rows in rows.chunks(MAX_DELETED) {
            let settled = delete(store, &part, rows).await;
            let mut withdrawals = lock(withdrawals);
            for id in settled {
                withdrawals.known.remove(&id);
            }
        }
    }
}

/// Deletes rows of one part, all or none; returns the ids that have no such row any more.
async fn delete(store: &dyn Store, part: &str, rows: &[(JobId, u64)]) -> Vec<JobId> {
    let checks = rows
        .iter()
        .map(|(id, version)| (JOBS.to_owned(), id.to_string(), *version));
    let deletes = rows.iter().map(|(id, _)| (JOBS.to_owned(), id.to_string()));
    let transaction = Transaction {
        part: part.to_owned(),
        checks: checks.collect(),
        deletes: deletes.collect(),
        ..Transaction::default()
    };
    match store.commit(&transaction).await {
        Ok(_) => rows.iter().map(|(id, _)| id.clone()).collect(),
        Err(StoreError::Conflict { rows: present }) => {
            let is_present = |id: &JobId, version| {
                let mut present = present.iter();
                present.any(|row| row.key == **id && row.version == version)
            };
            let gone = rows
                .iter()
                .filter(|(id, version)| !is_present(id, *version));
            gone.map(|(id, _)| id.clone()).collect()
        }
        Err(error) => {
            warn!(error:% = error, rows = rows.len(); "deleting rows of withdrawn ids failed");
            Vec::new()
        }
    }
}
