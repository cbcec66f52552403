//! Keeps the rows of jobs up to date.

use cell::{JobScheduler, SavedJob};
use platform::Transaction;

use super::Shard;
use crate::Node;

/// Rows of jobs that are written together, at most.
const ROWS: usize = 128;
/// Jobs that are over and still remembered.
const KEEP_OVER: usize = 1_000;

impl Shard {
    /// Writes the rows of jobs that have changed; `true` if nothing is left to write.
    pub(super) async fn save(&self, node: &Node) -> bool {
        loop {
            let Some(mut rows) = self.with_desk(JobScheduler::take_unsaved) else {
                return false;
            };
            if rows.is_empty() {
                self.forget(node).await;
                return true;
            }
            let later = rows.split_off(rows.len().min(ROWS));
            self.with_desk(|desk| later.iter().for_each(|row| desk.save_failed(row)));
            if !self.save_rows(node, &rows).await {
                self.with_desk(|desk| rows.iter().for_each(|row| desk.save_failed(row)));
                return false;
            }
        }
    }

    async fn save_rows(&self, node: &Node, rows: &[SavedJob]) -> bool {
        let Some((version, _)) = self.state().record.clone() else {
            return false;
        };
        // Checked, so that a deposed owner can't bring back what the new one has overwritten.
        let mut transaction = Transaction::default().check(cell::Record::key(&self.name), version);
        for row in rows {
            let Ok(value) = serde_json::to_string(row) else {
                continue;
            };
            transaction = transaction.put(SavedJob::key(&row.job.team, &row.job.id), value);
        }
        node.table.commit(transaction).await.is_ok()
    }

    /// Deletes the rows of jobs that were over long ago.
    async fn forget(&self, node: &Node) {
        let gone = self
            .with_desk(|desk| desk.remove_ended(KEEP_OVER))
            .unwrap_or_default();
        if gone.is_empty() {
            return;
        }
        let keys = gone.iter().map(|(team, job)| SavedJob::key(team, job));
        let transaction = keys.fold(Transaction::default(), Transaction::delete);
        drop(node.table.commit(transaction).await);
    }
}
