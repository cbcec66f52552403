//! What callers ask.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::{Job, State};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::host::Host;
use crate::insert::{Inserted, insert};
use crate::outside::{StoreError, Transaction};
use crate::rows::{CANCEL, JOBS, PROGRESS, job_part};
use crate::wire::{Call, Reply, ToOwner};

/// The owner answers a question about a job within this, or the store is asked.
const OWNER_WAIT: Duration = Duration::from_millis(500);
/// A host that can't accept anything says to come back after this: a takeover takes about as long.
const RETRY: Duration = Duration::from_secs(1);

/// What became of a job that a caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submitted {
    /// It is stored and will run.
    Accepted,
    /// It is not stored and will never run; come back after this time.
    Refused(Duration),
    /// It can't be told whether it is stored.
    Unsure,
}

/// What became of a question or a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The job's state.
    State(State),
    /// There is no such job.
    Unknown,
    /// It can't be told now.
    Unsure,
}

impl Host {
    /// Accepts a job, or refuses it.
    pub async fn submit(self: &Arc<Self>, job: Job, until: Instant) -> Submitted {
        let began = clock::now();
        let (id, queue) = (Arc::clone(&job.id), job.queue.clone());
        let submitted = self.try_submit(job, until).await;
        let heard = self.heard();
        let outcome = match submitted {
            Submitted::Accepted => "accepted",
            Submitted::Refused(_) => "refused",
            Submitted::Unsure => "unsure",
        };
        let took = clock::now().saturating_sub(began) as f64;
        metrics::counter!("lentilyoke_submits_total", "outcome" => outcome).increment(1);
        metrics::histogram!("lentilyoke_submit_ms", "outcome" => outcome).record(took);
        info!(
            job = &*id, queue = queue, outcome:? = submitted, ms = clock::now().saturating_sub(began),
            epoch = heard.beat.epoch, beat_age = began.saturating_sub(heard.at);
            "submit"
        );
        submitted
    }

    async fn try_submit(self: &Arc<Self>, job: Job, until: Instant) -> Submitted {
        let heard = self.heard();
        if clock::now().saturating_sub(heard.at) < 1_500
            && let Some(&after) = heard.beat.full.get(&job.queue)
        {
            return Submitted::Refused(Duration::from_millis(after));
        }
        if !self.served() && !self.owner_served() {
            return Submitted::Refused(RETRY);
        }
        match self.insert_both_ways(&job, until).await {
            (Inserted::There, by_owner) => {
                if !by_owner {
                    self.tell_accepted(job);
                }
                Submitted::Accepted
            }
            (Inserted::Refused, _) => Submitted::Refused(RETRY),
            (Inserted::Unsure, _) => Submitted::Unsure,
        }
    }

    /// Inserts a job's row by this host and, if its store doesn't answer in the usual time or refuses, by the owner as
    /// well; tells whether it was the owner.
    ///
    /// The store may serve the owner although it doesn't serve this host. Both inserts are the same, so whichever tells of
    /// the row decides; "refused" needs both.
    async fn insert_both_ways(&self, job: &Job, until: Instant) -> (Inserted, bool) {
        let patience = self.patience();
        let refused = Notify::new();
        let own = async {
            let inserted = insert(self.store.as_ref(), job, until, patience, false).await;
            refused.notify_one();
            inserted
        };
        let by_owner = async {
            if self.served() {
                drop(timeout(patience, refused.notified()).await);
            }
            self.insert_by_owner(job, until).await
        };
        let (mut own, mut by_owner) = (pin!(own), pin!(by_owner));
        let (first, owner_first) = tokio::select! {
            inserted = own.as_mut() => (inserted, false),
            inserted = by_owner.as_mut() => (inserted, true),
        };
        if first == Inserted::There {
            return (first, owner_first);
        }
        let second = if owner_first {
            own.await
        } else {
            by_owner.await
        };
        match (first, second) {
            (_, Inserted::There) => (second, !owner_first),
            (Inserted::Refused, Inserted::Refused) => (second, false),
            _ => (Inserted::Unsure, false),
        }
    }

    async fn insert_by_owner(&self, job: &Job, until: Instant) -> Inserted {
        let Some(link) = self.link() else {
            return Inserted::Refused;
        };
        let left = until.saturating_duration_since(Instant::now());
        match link.call(Call::Insert(Box::new(job.clone())), left).await {
            Some(Reply::Inserted) => Inserted::There,
            Some(Reply::Refused) => Inserted::Refused,
            _ => Inserted::Unsure,
        }
    }

    fn tell_accepted(&self, job: Job) {
        if let Some(owner) = self.owner() {
            owner.accepted(job);
        } else if let Some(link) = self.link() {
            link.tell(ToOwner::Accepted(Box::new(job)));
        }
    }

    async fn ask_owner(&self, call: Call, time: Duration) -> Option<Reply> {
        if let Some(owner) = self.owner() {
            return Some(owner.answer(call).await);
        }
        self.link()?.call(call, time).await
    }

    /// The state of a job.
    pub async fn state(&self, id: &str) -> Taken {
        let call = Call::State(id.to_owned());
        if let Some(Reply::State(state)) = self.ask_owner(call, OWNER_WAIT).await {
            return Taken::State(state);
        }
        self.stored_state(id).await
    }

    async fn stored_state(&self, id: &str) -> Taken {
        match self.present(JOBS, &job_part(id), id).await {
            Err(()) => return Taken::Unsure,
            Ok(None) => return Taken::Unknown,
            Ok(Some(_)) => {}
        }
        match self.present(PROGRESS, Self::PART, id).await {
            Err(()) => Taken::Unsure,
            Ok(None) => Taken::State(State::Queued),
            Ok(Some(value)) => serde_json::from_slice::<pool::Progress>(&value)
                .map_or(Taken::Unsure, |progress| Taken::State(progress.state)),
        }
    }

    /// What a row holds at this moment. Reads may lag behind: a job that was just accepted would look unknown, a completed
    /// one as if it ran. A transaction sees what is there, so one that demands the row's absence, and writes nothing, tells.
    async fn present(&self, table: &str, part: &str, key: &str) -> Result<Option<Vec<u8>>, ()> {
        let absent = Transaction {
            part: part.to_owned(),
            checks: vec![(table.to_owned(), key.to_owned(), 0)],
            ..Transaction::default()
        };
        match self.store.commit(&absent).await {
            Ok(_) => Ok(None),
            Err(StoreError::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == key);
                Ok(row.and_then(|row| row.value))
            }
            Err(_) => Err(()),
        }
    }

    /// Cancels a job; the answer means that this is stored.
    pub async fn cancel(&self, id: &str, until: Instant) -> Taken {
        let left = until.saturating_duration_since(Instant::now());
        let call = Call::Cancel(id.to_owned());
        let reply = self
            .ask_owner(call, left.min(Duration::from_millis(1_600)))
            .await;
        if reply
            .as_ref()
            .is_some_and(|reply| matches!(reply, Reply::Cancelled))
        {
            return Taken::State(State::Cancelled);
        }
        match self.stored_state(id).await {
            Taken::State(state) if state.is_final() => return Taken::State(state),
            Taken::State(_) => {}
            other => return other,
        }
        let transaction = Transaction {
            part: job_part(id),
            puts: vec![(JOBS.to_owned(), format!("{CANCEL}{id}"), b"{}".to_vec())],
            ..Transaction::default()
        };
        loop {
            match self.store.commit(&transaction).await {
                Ok(_) => return Taken::State(State::Cancelled),
                Err(StoreError::Conflict { .. }) => return Taken::Unsure,
                Err(_) if Instant::now() >= until => return Taken::Unsure,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// How many of a queue's jobs have nothing started; `None` if that isn't known well enough.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        let heard = self.heard();
        let recent = clock::now().saturating_sub(heard.at) < 1_900;
        recent.then(|| heard.beat.pending.get(queue).copied().unwrap_or(0))
    }
}
