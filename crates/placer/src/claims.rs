//! Claims: the record in the table that a non-idempotent request is about to start.
//!
//! Each placer gathers its claims and passes them to one writer in its data centre, which puts
//! those of all into one transaction. So the table sees the same number of writes for one claim
//! and for a thousand, however many placers there are.

mod writer;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use wire::{Claim, ClaimOutcome};

use crate::Node;

pub(crate) use writer::Writer;

/// Claims that wait to be written, at most.
const QUEUE: usize = 8_192;
/// Claims in one transaction, at most.
const BATCH: usize = 256;
/// Longest wait for a verdict. The table may be down; the caller is told so at once instead.
const LIMIT: Duration = Duration::from_millis(1_500);

type Waiting = (Claim, oneshot::Sender<ClaimOutcome>);

/// Hands claims to the writer of the data centre.
#[derive(Debug)]
pub struct Claims {
    outbox: mpsc::Sender<Waiting>,
    inbox: mpsc::Sender<Waiting>,
}

/// The receiving ends of a placer's [`Claims`].
#[derive(Debug)]
pub(crate) struct Ends {
    outbox: mpsc::Receiver<Waiting>,
    inbox: mpsc::Receiver<Waiting>,
}

impl Claims {
    pub(crate) fn new() -> (Self, Ends) {
        let (outbox, from_here) = mpsc::channel(QUEUE);
        let (inbox, from_all) = mpsc::channel(QUEUE);
        (
            Self { outbox, inbox },
            Ends {
                outbox: from_here,
                inbox: from_all,
            },
        )
    }

    /// Claims a request of a rack of this placer.
    pub(crate) async fn hold(&self, claim: Claim) -> ClaimOutcome {
        ask(&self.outbox, claim).await
    }

    /// Writes claims that this or another placer passes on.
    pub(crate) async fn write(&self, claims: Vec<Claim>) -> Vec<ClaimOutcome> {
        let asked = claims.into_iter().map(|claim| ask(&self.inbox, claim));
        futures::future::join_all(asked).await
    }
}

async fn ask(queue: &mpsc::Sender<Waiting>, claim: Claim) -> ClaimOutcome {
    let (verdict, answer) = oneshot::channel();
    if queue.try_send((claim, verdict)).is_err() {
        return ClaimOutcome::Unknown;
    }
    match tokio::time::timeout(LIMIT, answer).await {
        Ok(Ok(verdict)) => verdict,
        _ => ClaimOutcome::Unknown,
    }
}

/// Passes on this placer's claims until it ends.
pub(crate) async fn pass_on(node: Arc<Node>, mut ends: Ends) {
    let writer = Writer::new(Arc::clone(&node), ends.inbox);
    node.stop.spawn(writer.run());
    loop {
        let mut batch = Vec::new();
        tokio::select! {
            n = ends.outbox.recv_many(&mut batch, BATCH) => if n == 0 { return },
            () = node.stop.ended() => return,
        }
        let node = Arc::clone(&node);
        node.stop
            .clone()
            .spawn(async move { deliver(&node, batch).await });
    }
}

async fn deliver(node: &Node, batch: Vec<Waiting>) {
    let (claims, answers): (Vec<Claim>, Vec<_>) = batch.into_iter().unzip();
    let verdicts = match node.claimant() {
        Some(address) => match node.peers.claim(&address, claims.clone()).await {
            Ok(verdicts) if verdicts.len() == claims.len() => verdicts,
            // The same claims can be written again by anyone: they name the epoch.
            _ => node.claims.write(claims).await,
        },
        None => node.claims.write(claims).await,
    };
    for (answer, verdict) in answers.into_iter().zip(verdicts) {
        _ = answer.send(verdict);
    }
}
