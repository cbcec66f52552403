//! Claims: rows in the table that record that a non-idempotent request is about to start.
//!
//! Each placer batches its claims and forwards them to one writer in its data centre, which puts
//! the claims of all placers into one transaction. The table therefore sees the same number of
//! writes for one claim and for a full batch, however many placers there are.

mod writer;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

use crate::Node;

pub(crate) use writer::Writer;

/// Upper bound on claims that wait to be written.
const QUEUE_CAPACITY: usize = 8_192;
/// Upper bound on claims in one transaction.
const MAX_BATCH: usize = 256;
/// Time limit for the outcome of a claim: if the table is down, the caller is to learn it soon.
const OUTCOME_TIMEOUT: Duration = Duration::from_millis(1_500);

type PendingClaim = (Claim, oneshot::Sender<ClaimOutcome>);

/// Sends claims to the writer of the data centre.
#[derive(Debug)]
pub struct Claims {
    outbox: mpsc::Sender<PendingClaim>,
    inbox: mpsc::Sender<PendingClaim>,
}

/// The receiving ends of the queues of [`Claims`].
#[derive(Debug)]
pub(crate) struct ClaimQueues {
    outbox: mpsc::Receiver<PendingClaim>,
    inbox: mpsc::Receiver<PendingClaim>,
}

impl Claims {
    pub(crate) fn new() -> (Self, ClaimQueues) {
        let (outbox, from_here) = mpsc::channel(QUEUE_CAPACITY);
        let (inbox, from_all) = mpsc::channel(QUEUE_CAPACITY);
        (
            Self { outbox, inbox },
            ClaimQueues {
                outbox: from_here,
                inbox: from_all,
            },
        )
    }

    /// Claims a request on a rack of this placer.
    pub(crate) async fn claim(&self, claim: Claim) -> ClaimOutcome {
        request_outcome(&self.outbox, claim).await
    }

    /// Writes claims forwarded by this or another placer.
    pub(crate) async fn write(&self, claims: Vec<Claim>) -> Vec<ClaimOutcome> {
        let outcomes = claims
            .into_iter()
            .map(|claim| request_outcome(&self.inbox, claim));
        futures::future::join_all(outcomes).await
    }
}

async fn request_outcome(queue: &mpsc::Sender<PendingClaim>, claim: Claim) -> ClaimOutcome {
    let (outcome, answer) = oneshot::channel();
    if queue.try_send((claim, outcome)).is_err() {
        return ClaimOutcome::Unknown;
    }
    match tokio::time::timeout(OUTCOME_TIMEOUT, answer).await {
        Ok(Ok(outcome)) => outcome,
        _ => ClaimOutcome::Unknown,
    }
}

/// Forwards this placer's claims to the writer until the placer ends.
pub(crate) async fn forward(node: Arc<Node>, mut queues: ClaimQueues) {
    let writer = Writer::new(Arc::clone(&node), queues.inbox);
    node.shutdown.spawn(writer.run());
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            n = queues.outbox.recv_many(&mut batch, MAX_BATCH) => if n == 0 { return },
            () = node.shutdown.ended() => return,
        }
        let node = Arc::clone(&node);
        node.shutdown
            .clone()
            .spawn(async move { send_batch(&node, batch).await });
    }
}

async fn send_batch(node: &Node, batch: Vec<PendingClaim>) {
    let (claims, answers): (Vec<Claim>, Vec<_>) = batch.into_iter().unzip();
    let outcomes = match node.claim_writer() {
        Some(address) => match node.peers.claim(&address, claims.clone()).await {
            Ok(outcomes) if outcomes.len() == claims.len() => outcomes,
            // Any placer can safely write the same claims again, since they contain the epoch.
            _ => node.claims.write(claims).await,
        },
        None => node.claims.write(claims).await,
    };
    for (answer, outcome) in answers.into_iter().zip(outcomes) {
        _ = answer.send(outcome);
    }
}
