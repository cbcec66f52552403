//! Writes the claims of a data centre.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use cell::{Now, Record};
use platform::{Error, Row, Transaction};
use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

use super::{BATCH, Waiting};
use crate::Node;

/// Tries to write one batch; each shows which claims can't be held.
const TRIES: usize = 4;
/// Old claims that are deleted together with new ones, at most.
const SWEEP: usize = BATCH;

/// Gathers claims for a moment and writes them together.
pub(crate) struct Writer {
    node: Arc<Node>,
    inbox: mpsc::Receiver<Waiting>,
    /// Rows that were written, and when; they are deleted once they need not be remembered.
    written: VecDeque<(Now, String)>,
}

/// Claims on their way into the table.
struct Batch {
    open: Vec<(Claim, Option<oneshot::Sender<ClaimOutcome>>)>,
}

impl Writer {
    pub(crate) const fn new(node: Arc<Node>, inbox: mpsc::Receiver<Waiting>) -> Self {
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
                n = self.inbox.recv_many(&mut batch, BATCH) => if n == 0 { return },
                () = self.node.stop.ended() => return,
            }
            tokio::time::sleep(self.node.options.gather).await;
            while batch.len() < BATCH
                && let Ok(more) = self.inbox.try_recv()
            {
                batch.push(more);
            }
            let open = batch
                .into_iter()
                .map(|(claim, answer)| (claim, Some(answer)))
                .collect();
            self.write(Batch { open }).await;
        }
    }

    async fn write(&mut self, mut batch: Batch) {
        for _ in 0..TRIES {
            if batch.open.is_empty() {
                return;
            }
            let transaction = self.sweep(batch.transaction());
            match self.node.table.commit(transaction).await {
                Ok(_) => {
                    self.remember(&batch);
                    batch.answer_all(ClaimOutcome::Held);
                    return;
                }
                Err(Error::Conflict { rows }) => batch.settle(&rows),
                // It may have been written. Writing it again shows: a row that names the same
                // epoch is this very claim.
                Err(Error::Lost { .. }) => {}
                Err(Error::Down { .. }) => break,
            }
        }
        batch.answer_all(ClaimOutcome::Unknown);
    }

    fn remember(&mut self, batch: &Batch) {
        let now = self.node.since.elapsed();
        self.written
            .extend(batch.open.iter().map(|(claim, _)| (now, claim.row())));
    }

    /// Adds the deletion of old claims.
    fn sweep(&mut self, mut transaction: Transaction) -> Transaction {
        let now = self.node.since.elapsed();
        let keep = self.node.options.remember;
        for _ in 0..SWEEP {
            match self.written.front() {
                Some((at, _)) if now >= *at + keep => {}
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
    /// Every rack must still have its owner, and no claim may stand there yet.
    fn transaction(&self) -> Transaction {
        let claims = || self.open.iter().map(|(claim, _)| claim);
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

    /// Answers the claims that can't be held, going by the rows that were not as expected.
    fn settle(&mut self, rows: &[Row]) {
        let rows: BTreeMap<&str, &Row> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        self.open.retain_mut(|(claim, answer)| {
            let verdict = verdict(claim, &rows);
            match (verdict, answer.take()) {
                (Some(verdict), Some(answer)) => _ = answer.send(verdict),
                (None, open) => *answer = open,
                (Some(_), None) => {}
            }
            verdict.is_none()
        });
    }

    fn answer_all(self, verdict: ClaimOutcome) {
        for (_, answer) in self.open {
            if let Some(answer) = answer {
                _ = answer.send(verdict);
            }
        }
    }
}

/// What the rows say of a claim; `None` if it is to be written again.
fn verdict(claim: &mut Claim, rows: &BTreeMap<&str, &Row>) -> Option<ClaimOutcome> {
    if let Some(row) = rows.get(Record::key(&claim.rack).as_str()) {
        let record: Option<Record> = row
            .value
            .as_ref()
            .and_then(|value| serde_json::from_str(value).ok());
        if record.is_none_or(|r| r.epoch != claim.epoch) {
            return Some(ClaimOutcome::Fenced);
        }
        // The same owner has changed the row for another reason.
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
