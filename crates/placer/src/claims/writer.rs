//! Writes the claims of a data centre.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use cell::{Now, Record};
use platform::{Error, Row, Transaction};
use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

use super::{MAX_BATCH, PendingClaim};
use crate::Node;

/// Attempts to write one batch; each conflict shows which claims must be left out of the next.
const MAX_WRITE_ATTEMPTS: usize = 4;
/// Upper bound on expired claims deleted in one transaction with new ones.
const MAX_DELETIONS: usize = MAX_BATCH;

/// Batches claims and writes each batch in one transaction.
pub(crate) struct Writer {
    node: Arc<Node>,
    inbox: mpsc::Receiver<PendingClaim>,
    /// Keys of written rows with the time of writing; deleted after the retention period.
    written: VecDeque<(Now, String)>,
}

/// Claims that are being written in one transaction.
struct Batch {
    pending: Vec<(Claim, Option<oneshot::Sender<ClaimOutcome>>)>,
}

impl Writer {
    pub(crate) const fn new(node: Arc<Node>, inbox: mpsc::Receiver<PendingClaim>) -> Self {
        Self {
            node,
            inbox,
            written: VecDeque::new(),
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            tokio::select! {
                n = self.inbox.recv_many(&mut batch, MAX_BATCH) => if n == 0 { return },
                () = self.node.shutdown.ended() => return,
            }
            tokio::time::sleep(self.node.options.claim_batch_delay).await;
            while batch.len() < MAX_BATCH
                && let Ok(more) = self.inbox.try_recv()
            {
                batch.push(more);
            }
            let pending = batch
                .into_iter()
                .map(|(claim, answer)| (claim, Some(answer)))
                .collect();
            self.write(Batch { pending }).await;
        }
    }

    async fn write(&mut self, mut batch: Batch) {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if batch.pending.is_empty() {
                return;
            }
            let transaction = self.delete_expired(batch.transaction());
            match self.node.table.commit(transaction).await {
                Ok(_) => {
                    self.record_written(&batch);
                    batch.answer_all(ClaimOutcome::Held);
                    return;
                }
                Err(Error::Conflict { rows }) => batch.resolve_conflicts(&rows),
                // The batch may have been written. Writing it again shows whether it was: a row
                // with the same epoch is this very claim.
                Err(Error::Lost { .. }) => {}
                Err(Error::Down { .. }) => break,
            }
        }
        batch.answer_all(ClaimOutcome::Unknown);
    }

    fn record_written(&mut self, batch: &Batch) {
        let now = self.node.uptime.elapsed();
        self.written
            .extend(batch.pending.iter().map(|(claim, _)| (now, claim.row())));
    }

    /// Adds the deletion of expired claims.
    fn delete_expired(&mut self, mut transaction: Transaction) -> Transaction {
        let now = self.node.uptime.elapsed();
        let retention = self.node.options.request_retention;
        for _ in 0..MAX_DELETIONS {
            match self.written.front() {
                Some((at, _)) if now >= *at + retention => {}
                _ => break,
            }
            if let Some((_, row)) = self.written.pop_front() {
                transaction = transaction.delete(row);
            }
        }
        transaction
    }
}

impl Batch {
    /// A transaction that succeeds only if no rack's record has changed and no claim exists yet.
    fn transaction(&self) -> Transaction {
        let claims = || self.pending.iter().map(|(claim, _)| claim);
        let racks: BTreeMap<&str, u64> = claims()
            .map(|c| (c.rack.as_str(), c.rack_version))
            .collect();
        let mut transaction = Transaction::default();
        for (rack, version) in racks {
            transaction = transaction.check(Record::key(rack), version);
        }
        for claim in claims() {
            transaction = transaction.check(claim.row(), 0);
            transaction = transaction.put(claim.row(), claim.epoch.to_string());
        }
        transaction
    }

    /// Answers the claims that the conflicting rows decide, and keeps the others for the next
    /// attempt.
    fn resolve_conflicts(&mut self, rows: &[Row]) {
        let rows: BTreeMap<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        self.pending.retain_mut(|(claim, answer)| {
            let outcome = outcome(claim, &rows);
            match (outcome, answer.take()) {
                (Some(outcome), Some(answer)) => _ = answer.send(outcome),
                (None, pending) => *answer = pending,
                (Some(_), None) => {}
            }
            outcome.is_none()
        });
    }

    fn answer_all(self, outcome: ClaimOutcome) {
        for (_, answer) in self.pending {
            if let Some(answer) = answer {
                _ = answer.send(outcome);
            }
        }
    }
}

/// The outcome that the conflicting rows imply for a claim; `None` if it is to be written again.
fn outcome(claim: &mut Claim, rows: &BTreeMap<&str, &Row>) -> Option<ClaimOutcome> {
    if let Some(row) = rows.get(Record::key(&claim.rack).as_str()) {
        let record: Option<Record> = row
            .value
            .as_ref()
            .and_then(|value| serde_json::from_str(value).ok());
        if record.is_none_or(|r| r.epoch != claim.epoch) {
            return Some(ClaimOutcome::Fenced);
        }
        // The same owner has changed the record for another reason.
        claim.rack_version = row.version;
    }
    let row = rows.get(claim.row().as_str())?;
    let same = row.value.as_deref() == Some(claim.epoch.to_string().as_str());
    Some(if same {
        ClaimOutcome::Held
    } else {
        ClaimOutcome::Taken
    })
}
