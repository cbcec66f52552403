//! Calls of hosts to the owner, on behalf of their callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pool::{Job, State};
use tokio::time::Instant;

use super::Owner;
use crate::clock;
use crate::host::lock;
use crate::insert::{Inserted, JobLocation, insert};
use crate::wire::Reply;

/// How long a caller that cancels a job waits until the cancellation is stored.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Owner {
    /// Adds a job whose row was written. The feed of the table reports it too, a little later.
    ///
    /// The host that reports the job may have been paused since it wrote the row. Meanwhile the job may have been transferred to
    /// another pool, and this pool may have got another owner: added without its progress, the job would run a second time. A job
    /// that was written before this owner read the table is known from there, and for a transferred job, its row is needed
    /// besides the job itself.
    pub(crate) fn add_accepted_job(&self, job: Job, location: JobLocation) {
        let known = location.version <= self.jobs_read_as_of.load(Ordering::Relaxed);
        if !self.loaded.load(Ordering::Relaxed) || known || location.moved {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        lock(&self.pool).adopt(now, unix, Arc::new(job), None, false);
        self.wake.notify_one();
    }

    /// The stored state of a job; `None` if this owner doesn't know the job or may have been replaced.
    ///
    /// An owner that resumes after a pause would return states from before the pause: a caller that has seen "completed" would
    /// see the job run again. Such an owner is not confirmed until a majority of its workers has answered it.
    pub(crate) fn state(&self, id: &str) -> Option<State> {
        let pool = lock(&self.pool);
        pool.state(id).filter(|_| pool.has_quorum(clock::now()))
    }

    /// Cancels a job; replies when the cancellation is stored.
    pub(crate) async fn cancel(&self, id: &str) -> Reply {
        if lock(&self.pool).cancel(clock::unix(), id).is_none() {
            return Reply::Unknown;
        }
        self.wake.notify_one();
        self.dirty.notify_one();
        let until = Instant::now() + CANCEL_TIMEOUT;
        loop {
            let stored = self.stored.notified();
            let state = lock(&self.pool).state(id);
            match state {
                None => return Reply::Unknown,
                Some(state) if state.is_final() => return Reply::Cancelled,
                Some(_) => {}
            }
            if tokio::time::timeout_at(until, stored).await.is_err() {
                return Reply::Unsure;
            }
        }
    }

    /// Inserts a job's row on behalf of a host that the store doesn't serve.
    pub(crate) async fn insert(&self, pool: u32, job: Job) -> Reply {
        if !self.host.store_available() {
            return Reply::Refused;
        }
        let until = Instant::now() + Duration::from_millis(1_000);
        match insert(
            self.host.store.as_ref(),
            pool,
            &job,
            until,
            self.host.store_retry_delay(),
            false,
        )
        .await
        {
            Inserted::Present(location) => {
                self.host.notify_accepted(location, job);
                Reply::Inserted(location)
            }
            Inserted::Refused => Reply::Refused,
            Inserted::Unsure => Reply::Unsure,
        }
    }
}
