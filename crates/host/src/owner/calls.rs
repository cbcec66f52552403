//! What hosts ask of the owner for their callers.

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

/// A caller that cancels waits this long for the note of it.
const CANCEL_WAIT: Duration = Duration::from_millis(1_500);

impl Owner {
    /// A job's row is written: takes it up at once. The feed tells it too, a little later.
    ///
    /// A host may be paused between the two. Meanwhile the job may have gone to another pool, and this one to another owner:
    /// taken up without its progress it would run a second time. What was written before this owner read the jobs is known
    /// by that, and what is more than the job itself is told by the row.
    pub(crate) fn add_accepted_job(&self, job: Job, place: JobLocation) {
        let known = place.version <= self.read_to.load(Ordering::Relaxed);
        if !self.loaded.load(Ordering::Relaxed) || known || place.moved {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        lock(&self.pool).adopt(now, unix, Arc::new(job), None, false);
        self.wake.notify_one();
    }

    /// State of a job, as it is stored; `None` if this owner doesn't know it, or may have been replaced.
    ///
    /// An owner that was paused and goes on would tell states of before its pause: a caller that was told "completed" would
    /// see the job run again. It fails the proof until the workers have answered it.
    pub(crate) fn state(&self, id: &str) -> Option<State> {
        let pool = lock(&self.pool);
        pool.state(id).filter(|_| pool.has_quorum(clock::now()))
    }

    /// Cancels a job; answers when that is stored.
    pub(crate) async fn cancel(&self, id: &str) -> Reply {
        if lock(&self.pool).cancel(clock::unix(), id).is_none() {
            return Reply::Unknown;
        }
        self.wake.notify_one();
        self.dirty.notify_one();
        let until = Instant::now() + CANCEL_WAIT;
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

    /// Inserts a job's row for a host that the store doesn't serve.
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
            Inserted::Present(place) => {
                self.host.notify_accepted(place, job);
                Reply::Inserted(place)
            }
            Inserted::Refused => Reply::Refused,
            Inserted::Unsure => Reply::Unsure,
        }
    }
}
