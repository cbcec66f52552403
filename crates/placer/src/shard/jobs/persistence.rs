//! Keeps the rows of jobs up to date.

use cell::{Desk, Saved};
use platform::Transaction;

use super::Shard;
use crate::Node;

/// Rows of jobs that are written together, at most.
const MAX_ROWS: usize = 128;
/// Jobs that are over and still remembered.
const MAX_FINISHED_JOBS: usize = 1_000;

impl Shard {
    /// Writes the rows of jobs that have changed; `true` if nothing is left to write.
    pub(super) async fn save(&self, node: &Node) -> bool {
        loop {
            let Some(mut rows) = self.with_desk(Desk::unsaved) else {
                return false;
            };
            if rows.is_empty() {
                self.delete_old_jobs(node).await;
                return true;
            }
            let later = rows.split_off(rows.len().min(MAX_ROWS));
            self.with_desk(|desk| later.iter().for_each(|row| desk.not_saved(row)));
            if !self.save_rows(node, &rows).await {
                self.with_desk(|desk| rows.iter().for_each(|row| desk.not_saved(row)));
                return false;
            }
        }
    }

    async fn save_rows(&self, node: &Node, rows: &[Saved]) -> bool {
        let Some((version, _)) = self.state().record.clone() else {
            return false;
        };
        // Checked, so that a deposed owner can't bring back what the new one has overwritten.
        let mut transaction = Transaction::default().check(cell::Record::key(&self.name), version);
        for row in rows {
            let Ok(value) = serde_json::to_string(row) else {
                continue;
            };
            transaction = transaction.put(Saved::key(&row.job.team, &row.job.id), value);
        }
        node.table.commit(transaction).await.is_ok()
    }

    /// Deletes the rows of jobs that were over long ago.
    async fn delete_old_jobs(&self, node: &Node) {
        let deleted = self
            .with_desk(|desk| desk.forget_over(MAX_FINISHED_JOBS))
            .unwrap_or_default();
        if deleted.is_empty() {
            return;
        }
        let keys = deleted.iter().map(|(team, job)| Saved::key(team, job));
        let transaction = keys.fold(Transaction::default(), Transaction::delete);
        drop(node.table.commit(transaction).await);
    }
}
