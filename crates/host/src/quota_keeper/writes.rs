//! Writes changed rows under the owner's claim.

use log::warn;

use super::{MAX_ROWS, QuotaKeeper};
use crate::claim::parse;
use crate::interfaces::{Row, Store, StoreError, Transaction};
use crate::quota_parts::{RowWrite, StoredRow};
use crate::rows::{OWNER, OwnerRow, QUOTA, pool_part};
use crate::sync::lock;

/// The claim under which rows are written.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Incarnation of the owner's host.
    pub incarnation: u64,
    /// Version of the owner's row.
    pub version: u64,
}

impl Ownership {
    /// Finds the owner's row among these. Returns `false` if another owner wrote it.
    pub(super) fn update(&mut self, rows: &[Row]) -> bool {
        let Some((row, version)) = parse::<OwnerRow>(rows, OWNER) else {
            return true;
        };
        self.version = version;
        row.epoch == self.epoch && row.incarnation == self.incarnation
    }
}

/// Result of a write.
pub(super) enum Written {
    /// There is nothing to write.
    Nothing,
    Stored,
    /// The store didn't execute the write, or didn't answer.
    Failed,
    /// Another host owns the pool.
    Deposed,
}

impl QuotaKeeper {
    /// Writes changed rows.
    pub(super) async fn write(
        &self,
        ownership: &mut Ownership,
        store: &dyn Store,
        max_rows: &mut usize,
    ) -> Written {
        let rows = lock(&self.parts).start_write(*max_rows);
        if rows.is_empty() {
            return Written::Nothing;
        }
        let transaction = transaction(self.pool, *ownership, &rows);
        let result = store.commit(&transaction).await;
        let mut parts = lock(&self.parts);
        match result {
            Ok(version) => {
                metrics::counter!("lentilyoke_quota_rows_written_total")
                    .increment(rows.len() as u64);
                parts.write_stored(version);
                *max_rows = (*max_rows * 2).min(MAX_ROWS);
                Written::Stored
            }
            Err(StoreError::Conflict { rows }) => {
                if !ownership.update(&rows) {
                    return Written::Deposed;
                }
                let rows = rows.into_iter().filter(|row| row.table == QUOTA);
                parts.write_conflicted(rows.map(stored_row));
                Written::Failed
            }
            Err(error @ StoreError::Rejected { .. }) => {
                *max_rows = (rows.len() / 2).max(1);
                let customer = parts.write_rejected();
                warn!(pool = self.pool, rows = rows.len(), customer = customer.as_deref().unwrap_or(""), error:% = error; "store rejected the write of parts of limits");
                Written::Failed
            }
            Err(error) => {
                if matches!(error, StoreError::Lost { .. }) {
                    parts.write_lost();
                } else {
                    parts.write_refused();
                }
                warn!(pool = self.pool, rows = rows.len(), error:% = error; "writing parts of limits failed");
                Written::Failed
            }
        }
    }
}

pub(super) fn stored_row(row: Row) -> StoredRow {
    StoredRow {
        customer: row.key.into(),
        value: row.value,
        version: row.version,
    }
}

/// The transaction that writes these rows under the owner's claim.
fn transaction(pool: u32, ownership: Ownership, rows: &[RowWrite]) -> Transaction {
    let mut transaction = Transaction {
        part: pool_part(pool),
        checks: vec![(OWNER.to_owned(), OWNER.to_owned(), ownership.version)],
        ..Transaction::default()
    };
    for row in rows {
        let key = row.customer.to_string();
        let check = (QUOTA.to_owned(), key.clone(), row.version);
        transaction.checks.push(check);
        let put = (QUOTA.to_owned(), key, row.value.clone());
        transaction.puts.push(put);
    }
    transaction
}
