//! Persists jobs in the platform's table.

use cell::{JobScheduler, SavedJob};
use platform::Transaction;

use super::Shard;
use crate::Node;

/// Upper bound on job rows in one transaction.
const MAX_ROWS: usize = 128;
/// Number of ended jobs that are retained.
const MAX_ENDED_JOBS: usize = 1_000;

impl Shard {
    /// Writes the rows of changed jobs; `true` if nothing is left to write.
    pub(super) async fn save(&self, node: &Node) -> bool {
        loop {
            let Some(mut rows) = self.with_scheduler(JobScheduler::take_unsaved) else {
                return false;
            };
            if rows.is_empty() {
                self.delete_old_jobs(node).await;
                return true;
            }
            let later = rows.split_off(rows.len().min(MAX_ROWS));
            self.with_scheduler(|scheduler| {
                later.iter().for_each(|row| scheduler.save_failed(row));
            });
            if !self.save_rows(node, &rows).await {
                self.with_scheduler(|scheduler| {
                    rows.iter().for_each(|row| scheduler.save_failed(row));
                });
                return false;
            }
        }
    }

    async fn save_rows(&self, node: &Node, rows: &[SavedJob]) -> bool {
        let Some((version, _)) = self.state().record.clone() else {
            return false;
        };
        // Checks the rack's record, so that a deposed owner can't overwrite rows of the new one.
        let mut transaction = Transaction::default().check(cell::Record::key(&self.name), version);
        for row in rows {
            let Ok(value) = serde_json::to_string(row) else {
                continue;
            };
            transaction = transaction.put(SavedJob::key(&row.job.team, &row.job.id), value);
        }
        node.table.commit(transaction).await.is_ok()
    }

    /// Deletes the rows of ended jobs beyond [`MAX_ENDED_JOBS`].
    async fn delete_old_jobs(&self, node: &Node) {
        let deleted = self
            .with_scheduler(|scheduler| scheduler.remove_ended(MAX_ENDED_JOBS))
            .unwrap_or_default();
        if deleted.is_empty() {
            return;
        }
        let keys = deleted.iter().map(|(team, job)| SavedJob::key(team, job));
        let transaction = keys.fold(Transaction::default(), Transaction::delete);
        drop(node.table.commit(transaction).await);
    }
}
