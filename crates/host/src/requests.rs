//! Requests of callers: submitting and querying jobs.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::{Job, Mechanism, Ms, State};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::access::Caller;
use crate::clock;
use crate::host::Host;
use crate::insert::{Inserted, JobLocation, insert};
use crate::interfaces::{Row, StoreError, Transaction};
use crate::link::UnansweredCall;
use crate::progress_row::ProgressRow;
use crate::route;
use crate::rows::{JOBS, JobRowHeader, PROGRESS, job_part, job_row_header, pool_part};
use crate::wire::{Call, Reply, ToOwner};
use crate::withdrawal::Withdrawal;

/// Timeout of a query for a job's state to the owner of its pool; after that the store is read.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// An owner that is storing a job's final state is asked for it this many times; it waits a while for the store each time.
const MAX_STATE_QUERIES: usize = 4;
/// Counts of pending jobs that are older than this are not returned; callers may get counts that are up to 2 s old.
const MAX_PENDING_AGE: Ms = 1_900;
/// Callers of a host that can't accept jobs are asked to retry after this time, which is about as long as a takeover takes.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submitted {
    /// The job is stored and will run.
    Accepted,
    /// The id belongs to a job that the caller may not access; the caller's job is not stored and will never run.
    IdInUse,
    /// The job is not stored and will never run: its customer has as many jobs waiting as it may have. The caller may retry after
    /// this time.
    BacklogFull(Duration),
    /// The job is not stored and will never run; the caller may retry after this time.
    Refused(Duration),
    /// It is not known whether the job is stored.
    Unsure,
}

/// Whether an insert has found or written the job's row.
fn is_known(inserted: Inserted) -> bool {
    matches!(inserted, Inserted::Present(_) | Inserted::IdInUse)
}

/// Outcome of a query or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobStatus {
    /// The job's state.
    Known(State),
    /// There is no such job, or the caller may not access it.
    NotFound,
    /// The state, or the outcome of the cancellation, is unknown.
    Unsure,
}

impl Host {
    /// Accepts a job, or refuses it. Gives up at `until`.
    pub async fn submit(self: &Arc<Self>, job: Job, until: Instant) -> Submitted {
        let began = clock::now();
        let (id, queue) = (Arc::clone(&job.id), job.queue.clone());
        let customer = Arc::clone(&job.customer);
        let pool = route::choose_pool(&self.pool_map(), &job, &self.pool_loads());
        let last = self.last_heartbeat(pool);
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
            Submitted::IdInUse => "id_in_use",
            Submitted::BacklogFull(_) => "backlog_full",
            Submitted::Refused(_) => "refused",
            Submitted::Unsure => "unsure",
        };
        let took = clock::now().saturating_sub(began) as f64;
        metrics::counter!("lentilyoke_submits_total", "outcome" => outcome).increment(1);
        metrics::histogram!("lentilyoke_submit_ms", "outcome" => outcome).record(took);
        info!(
            job = &*id, queue = queue, customer = &*customer, outcome:? = submitted, ms = clock::now().saturating_sub(began),
            pool = pool, epoch = last.heartbeat.epoch, beat_age = last.age(began).map_or(-1, |age| age as i64),
            plan = self.pool_map().version, store_served = self.store_available();
            "submit"
        );
        submitted
    }

    async fn try_submit(self: &Arc<Self>, pool: u32, job: Job, until: Instant) -> Submitted {
        if self.has(Mechanism::EarlyRefusal) && !self.can_accept() {
            return Submitted::Refused(RETRY_AFTER);
        }
        if let Some(after) = self.full_backlog(pool, &job.customer) {
            return Submitted::BacklogFull(after);
        }
        match self.insert_both_ways(pool, &job, until).await {
            (Inserted::Present(location), by_owner) => {
                if !by_owner {
                    self.notify_accepted(location, job);
                }
                Submitted::Accepted
            }
            (Inserted::IdInUse, _) => Submitted::IdInUse,
            (Inserted::Refused, _) => Submitted::Refused(RETRY_AFTER),
            (Inserted::Unsure, _) => Submitted::Unsure,
        }
    }

    /// The time after which a pool can accept more jobs of a customer; `None` if it can now, as far as its owner has told.
    fn full_backlog(&self, pool: u32, customer: &str) -> Option<Duration> {
        let last = self.last_heartbeat(pool);
        let age = clock::now().saturating_sub(last.received_at);
        let mut full = last.heartbeat.full_backlogs.iter();
        let (_, after) = full.find(|(name, _)| &**name == customer)?;
        let left = after.checked_sub(age).filter(|left| *left > 0)?;
        Some(Duration::from_millis(left))
    }

    /// Inserts a job's row from this host and, if the store refuses or doesn't answer this host in its usual time, through an
    /// owner as well. The flag in the result is `true` if the owner inserted it.
    ///
    /// The store may be available to the owner although it is not to this host. Both inserts write the same row, so the first
    /// that finds or writes the row decides; the job is refused only if both inserts were refused.
    async fn insert_both_ways(&self, pool: u32, job: &Job, until: Instant) -> (Inserted, bool) {
        let retry_delay = self.store_retry_delay();
        if !self.has(Mechanism::JointInserts) && self.store_available() {
            let inserted = insert(self.store.as_ref(), pool, job, until, retry_delay, false).await;
            return (inserted, false);
        }
        let refused = Notify::new();
        let own = async {
            let inserted = insert(self.store.as_ref(), pool, job, until, retry_delay, false).await;
            refused.notify_one();
            inserted
        };
        let by_owner = async {
            if self.store_available() {
                drop(timeout(retry_delay, refused.notified()).await);
            }
            self.insert_by_owner(pool, job, until).await
        };
        let (mut own, mut by_owner) = (pin!(own), pin!(by_owner));
        let (first, owner_first) = tokio::select! {
            inserted = own.as_mut() => (inserted, false),
            inserted = by_owner.as_mut() => (inserted, true),
        };
        if is_known(first) {
            return (first, owner_first);
        }
        let second = if owner_first {
            own.await
        } else {
            by_owner.await
        };
        match (first, second) {
            (_, second) if is_known(second) => (second, !owner_first),
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
            Some(Reply::Inserted(location)) => Inserted::Present(location),
            Some(Reply::IdInUse) => Inserted::IdInUse,
            Some(Reply::Refused) => Inserted::Refused,
            _ => Inserted::Unsure,
        }
    }

    /// Notifies the owner of the pool that a job's row has been written. An earlier submission may have written it under a former
    /// owner, which may have started the job.
    pub(crate) fn notify_accepted(&self, location: JobLocation, job: Job) {
        let epoch = location.epoch;
        let job = Job { epoch, ..job };
        let state = self.pool_state(location.pool);
        if let Some(owner) = state.owner {
            owner.add_accepted_job(job, location);
        } else if let Some(link) = state.link {
            link.send(ToOwner::Accepted(Box::new(job), location));
        }
    }

    /// Calls the owner of a pool, which may be on this host; `None` if there is no reply within `limit`.
    pub(crate) async fn call_owner(&self, pool: u32, call: Call, limit: Duration) -> Option<Reply> {
        let state = self.pool_state(pool);
        if let Some(owner) = state.owner {
            let unanswered = UnansweredCall::new(&call);
            let reply = timeout(limit, owner.handle_call(call)).await.ok();
            return unanswered.end(reply);
        }
        state.link?.call(call, limit).await
    }

    /// The state of a job: asks the owners of its candidate pools first, then reads the store.
    pub async fn state(&self, id: &str, caller: &Caller) -> JobStatus {
        let candidates = route::candidates(&self.pool_map(), id);
        for &pool in &candidates {
            if let Some(status) = self.state_by_owner(pool, id, caller).await {
                return status;
            }
        }
        let header = match self.read_accessible_header(id, caller).await {
            Ok(header) => header,
            Err(status) => return status,
        };
        if !candidates.contains(&header.pool)
            && let Some(status) = self.state_by_owner(header.pool, id, caller).await
        {
            return status;
        }
        self.stored_state(&header, id).await
    }

    /// The state of a job according to the owner of a pool; `None` if the owner doesn't know it.
    async fn state_by_owner(&self, pool: u32, id: &str, caller: &Caller) -> Option<JobStatus> {
        for _ in 0..MAX_STATE_QUERIES {
            let call = Call::State(id.to_owned(), caller.clone());
            match self.call_owner(pool, call, OWNER_TIMEOUT).await? {
                Reply::State(state) => return Some(JobStatus::Known(state)),
                Reply::Inaccessible => return Some(self.deny_access(id, caller)),
                // The final state is being stored. Reading the store instead would delay that write: a part of the store executes
                // its transactions one after the other.
                Reply::Unsure => {}
                _ => return None,
            }
        }
        Some(JobStatus::Unsure)
    }

    /// Records that a caller named a job that it may not access, and returns what it is told.
    pub(crate) fn deny_access(&self, id: &str, caller: &Caller) -> JobStatus {
        self.admission().record_foreign_job(caller, id);
        JobStatus::NotFound
    }

    /// Reads the pool of a job that the caller may access.
    ///
    /// # Errors
    /// What the caller is told if there is no such job or the store gives no answer.
    async fn read_accessible_header(
        &self,
        id: &str,
        caller: &Caller,
    ) -> Result<JobRowHeader, JobStatus> {
        match self.read_header(id).await {
            Ok(Some(header)) => self.check_access(header, id, caller),
            Ok(None) => Err(JobStatus::NotFound),
            Err(()) => Err(JobStatus::Unsure),
        }
    }

    /// Returns the header of a job's row if the caller may access the job.
    ///
    /// # Errors
    /// What the caller is told otherwise.
    pub(crate) fn check_access(
        &self,
        header: JobRowHeader,
        id: &str,
        caller: &Caller,
    ) -> Result<JobRowHeader, JobStatus> {
        if header.is_accessible_to(caller) {
            Ok(header)
        } else {
            Err(self.deny_access(id, caller))
        }
    }

    /// Reads the pool of a job from its row; `None` if there is no row, or the id was withdrawn.
    async fn read_header(&self, id: &str) -> Result<Option<JobRowHeader>, ()> {
        let row = self.read_current(JOBS, &job_part(id), id).await?;
        match row.and_then(|row| row.value) {
            None => Ok(None),
            Some(value) if Withdrawal::is_row(&value) => Ok(None),
            Some(value) => job_row_header(&value).map(Some).ok_or(()),
        }
    }

    /// Reads a job's state from the store. A job without progress in its present pool has the state with which it came there, if
    /// its row holds one.
    pub(crate) async fn stored_state(&self, header: &JobRowHeader, id: &str) -> JobStatus {
        let initial = header.moved.as_ref().map(|moved| moved.progress.state);
        match self
            .read_current(PROGRESS, &pool_part(header.pool), id)
            .await
        {
            Err(()) => JobStatus::Unsure,
            Ok(None) => JobStatus::Known(initial.unwrap_or_default()),
            Ok(Some(row)) => row
                .value
                .and_then(|value| ProgressRow::decode(&value).ok())
                .map_or(JobStatus::Unsure, |progress| {
                    JobStatus::Known(progress.state)
                }),
        }
    }

    /// Reads the present version of a row; `None` if there is no such row, an error if the store gives no answer.
    ///
    /// Plain reads may be stale: a job that was just accepted would look unknown, and a completed one still running.
    /// Transactions are not, so this commits one that writes nothing and requires the row to be absent; a conflict returns the
    /// row.
    pub(crate) async fn read_current(
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

    /// Number of jobs of a queue of which nothing has started; `None` if a pool's count is missing or too old.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        self.sum_over_pools(MAX_PENDING_AGE, |heartbeat| {
            let pending = heartbeat.pending.as_ref()?;
            Some(pending.get(queue).copied().unwrap_or(0))
        })
    }
}
