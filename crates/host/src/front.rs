//! What callers ask.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::{Job, Mechanism, Ms, State};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::host::Host;
use crate::insert::{Inserted, Place, insert};
use crate::outside::{Row, StoreError, Transaction};
use crate::route;
use crate::rows::{CANCEL, JOBS, JobPlace, PROGRESS, job_part, place_of, pool_part};
use crate::wire::{Call, Reply, ToOwner};

/// The owner answers a question about a job within this, or the store is asked.
const OWNER_WAIT: Duration = Duration::from_millis(500);
/// An owner waits 1.5 s for the note of a cancel; some more for the way.
const CANCEL_WAIT: Duration = Duration::from_millis(1_600);
/// Counts of waiting jobs are told if they are no older than this, in milliseconds; callers may be told what was 2 s ago.
const PENDING_AGE: Ms = 1_900;
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
        let pool = route::choose(&self.plan(), &job, &self.pool_loads());
        let heard = self.last_heartbeat(pool);
        let job = Job {
            epoch: if self.has(Mechanism::JobEpochs) {
                self.owner_epoch(pool)
            } else {
                0
            },
            ..job
        };
        let submitted = self.try_submit(pool, job, until).await;
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
            pool = pool, epoch = heard.heartbeat.epoch, beat_age = began.saturating_sub(heard.received_at),
            plan = self.plan().version, store_served = self.served();
            "submit"
        );
        submitted
    }

    async fn try_submit(self: &Arc<Self>, pool: u32, job: Job, until: Instant) -> Submitted {
        if self.has(Mechanism::EarlyRefusal) && !self.can_accept() {
            return Submitted::Refused(RETRY);
        }
        match self.insert_both_ways(pool, &job, until).await {
            (Inserted::There(place), by_owner) => {
                if !by_owner {
                    self.tell_accepted(place, job);
                }
                Submitted::Accepted
            }
            (Inserted::Refused, _) => Submitted::Refused(RETRY),
            (Inserted::Unsure, _) => Submitted::Unsure,
        }
    }

    /// Inserts a job's row by this host and, if its store doesn't answer in the usual time or refuses, by an owner as
    /// well; tells whether it was the owner.
    ///
    /// The store may serve the owner although it doesn't serve this host. Both inserts are the same, so whichever tells of
    /// the row decides; "refused" needs both.
    async fn insert_both_ways(&self, pool: u32, job: &Job, until: Instant) -> (Inserted, bool) {
        let patience = self.patience();
        if !self.has(Mechanism::JointInserts) && self.served() {
            let inserted = insert(self.store.as_ref(), pool, job, until, patience, false).await;
            return (inserted, false);
        }
        let refused = Notify::new();
        let own = async {
            let inserted = insert(self.store.as_ref(), pool, job, until, patience, false).await;
            refused.notify_one();
            inserted
        };
        let by_owner = async {
            if self.served() {
                drop(timeout(patience, refused.notified()).await);
            }
            self.insert_by_owner(pool, job, until).await
        };
        let (mut own, mut by_owner) = (pin!(own), pin!(by_owner));
        let (first, owner_first) = tokio::select! {
            inserted = own.as_mut() => (inserted, false),
            inserted = by_owner.as_mut() => (inserted, true),
        };
        if matches!(first, Inserted::There(_)) {
            return (first, owner_first);
        }
        let second = if owner_first {
            own.await
        } else {
            by_owner.await
        };
        match (first, second) {
            (_, Inserted::There(_)) => (second, !owner_first),
            (Inserted::Refused, Inserted::Refused) => (second, false),
            _ => (Inserted::Unsure, false),
        }
    }

    async fn insert_by_owner(&self, pool: u32, job: &Job, until: Instant) -> Inserted {
        let Some(link) = self
            .link_to_owner_with_store()
            .or_else(|| self.owner_link(pool))
        else {
            return Inserted::Refused;
        };
        let left = until.saturating_duration_since(Instant::now());
        let call = Call::Insert(pool, Box::new(job.clone()));
        match link.call(call, left).await {
            Some(Reply::Inserted(place)) => Inserted::There(place),
            Some(Reply::Refused) => Inserted::Refused,
            _ => Inserted::Unsure,
        }
    }

    /// A job's row is written: tells the owner of the pool that it names.
    pub(crate) fn tell_accepted(&self, place: Place, job: Job) {
        let state = self.pool_state(place.pool);
        if let Some(owner) = state.owner {
            owner.add_accepted_job(job, place);
        } else if let Some(link) = state.link {
            link.send(ToOwner::Accepted(Box::new(job), place));
        }
    }

    async fn ask_owner(&self, pool: u32, call: Call, time: Duration) -> Option<Reply> {
        let state = self.pool_state(pool);
        if let Some(owner) = state.owner {
            return Some(owner.handle_call(call).await);
        }
        state.link?.call(call, time).await
    }

    /// The state of a job.
    pub async fn state(&self, id: &str) -> Taken {
        let likely = route::candidates(&self.plan(), id);
        for &pool in &likely {
            let call = Call::State(id.to_owned());
            if let Some(Reply::State(state)) = self.ask_owner(pool, call, OWNER_WAIT).await {
                return Taken::State(state);
            }
        }
        match self.home(id).await {
            Ok(Some(home)) if likely.contains(&home.pool) => self.stored_state(&home, id).await,
            Ok(Some(home)) => {
                let call = Call::State(id.to_owned());
                match self.ask_owner(home.pool, call, OWNER_WAIT).await {
                    Some(Reply::State(state)) => Taken::State(state),
                    _ => self.stored_state(&home, id).await,
                }
            }
            Ok(None) => Taken::Unknown,
            Err(()) => Taken::Unsure,
        }
    }

    /// Where a job is by its row; `None` if there is no such row.
    async fn home(&self, id: &str) -> Result<Option<JobPlace>, ()> {
        match self.present(JOBS, &job_part(id), id).await? {
            None => Ok(None),
            Some(row) => {
                let place = row.value.as_deref().and_then(place_of);
                place.map(Some).ok_or(())
            }
        }
    }

    async fn stored_state(&self, home: &JobPlace, id: &str) -> Taken {
        let before = home.moved.as_ref().map(|moved| moved.progress.state);
        match self.present(PROGRESS, &pool_part(home.pool), id).await {
            Err(()) => Taken::Unsure,
            Ok(None) => Taken::State(before.unwrap_or_default()),
            Ok(Some(row)) => row
                .value
                .and_then(|value| serde_json::from_slice::<pool::Progress>(&value).ok())
                .map_or(Taken::Unsure, |progress| Taken::State(progress.state)),
        }
    }

    /// A row as it is at this moment. Reads may lag behind: a job that was just accepted would look unknown, a completed
    /// one as if it ran. A transaction sees what is there, so one that demands the row's absence, and writes nothing, tells.
    pub(crate) async fn present(
        &self,
        table: &str,
        part: &str,
        key: &str,
    ) -> Result<Option<Row>, ()> {
        let absent = Transaction {
            part: part.to_owned(),
            checks: vec![(table.to_owned(), key.to_owned(), 0)],
            ..Transaction::default()
        };
        match self.store.commit(&absent).await {
            Ok(_) => Ok(None),
            Err(StoreError::Conflict { rows }) => {
                let row = rows.into_iter().find(|row| row.key == key);
                Ok(row.filter(|row| row.value.is_some()))
            }
            Err(_) => Err(()),
        }
    }

    /// Cancels a job; the answer means that this is stored.
    pub async fn cancel(&self, id: &str, until: Instant) -> Taken {
        let likely = route::candidates(&self.plan(), id);
        for &pool in &likely {
            if self.cancel_at(pool, id, until).await {
                return Taken::State(State::Cancelled);
            }
        }
        let home = match self.home(id).await {
            Ok(Some(home)) => home,
            Ok(None) => return Taken::Unknown,
            Err(()) => return Taken::Unsure,
        };
        if !likely.contains(&home.pool) && self.cancel_at(home.pool, id, until).await {
            return Taken::State(State::Cancelled);
        }
        match self.stored_state(&home, id).await {
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
                Err(StoreError::Conflict { .. } | StoreError::Rejected { .. }) => {
                    return Taken::Unsure;
                }
                Err(_) if Instant::now() >= until => return Taken::Unsure,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Has a pool's owner cancel a job; `true` if that is stored.
    async fn cancel_at(&self, pool: u32, id: &str, until: Instant) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        let call = Call::Cancel(id.to_owned());
        let reply = self.ask_owner(pool, call, left.min(CANCEL_WAIT)).await;
        matches!(reply, Some(Reply::Cancelled))
    }

    /// How many of a queue's jobs have nothing started; `None` if that isn't known well enough.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        self.sum_over_pools(PENDING_AGE, |beat| {
            let pending = beat.pending.as_ref()?;
            Some(pending.get(queue).copied().unwrap_or(0))
        })
    }
}
