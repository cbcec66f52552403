//! Calls of hosts to the owner, on behalf of their callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::{Job, State};
use tokio::time::{Instant, sleep_until};

use super::Owner;
use crate::access::Caller;
use crate::clock;
use crate::host::lock;
use crate::insert::{Inserted, JobLocation, insert};
use crate::wire::Reply;

/// How long a query for a job's state waits for the answer of the store to the write of its final state. It is shorter than the
/// timeout of the host that asks.
const STATE_TIMEOUT: Duration = Duration::from_millis(300);
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

    /// The state of a job, unless this owner doesn't know the job, can't tell its state, may have been replaced, or may have
    /// transferred the job to another pool. Waits while the final state is being stored, until the ownership ends.
    ///
    /// An owner that resumes after a pause would return states from before the pause: a caller that has seen "completed" would
    /// see the job run again. Such an owner is not confirmed until a majority of its workers has answered it.
    pub(crate) async fn state(&self, id: &str, caller: &Caller) -> Reply {
        let until = Instant::now() + STATE_TIMEOUT;
        loop {
            let written = self.written.notified();
            {
                let pool = lock(&self.pool);
                let is_owner = !self.ended.is_cancelled() && pool.has_quorum(clock::now());
                let may_answer = is_owner && !pool.is_transfer_in_doubt(id);
                let Some(job) = pool.job(id).filter(|_| may_answer) else {
                    return Reply::Unknown;
                };
                if !caller.may_access(&job.customer, &job.queue) {
                    return Reply::Inaccessible;
                }
                if let Some(state) = pool.state(id) {
                    return Reply::State(state);
                }
            }
            tokio::select! {
                biased;
                () = written => {}
                () = self.ended.cancelled() => {}
                () = sleep_until(until) => return Reply::Unsure,
            }
        }
    }

    /// Cancels a job; replies when the cancellation is stored, or at once if the job may be in another pool or the ownership has
    /// ended.
    ///
    /// A job that is not loaded yet is left alone: it is not known who may access it.
    pub(crate) async fn cancel(&self, id: &str, caller: &Caller) -> Reply {
        {
            let mut pool = lock(&self.pool);
            let Some(job) = pool.job(id) else {
                return Reply::Unknown;
            };
            if !caller.may_access(&job.customer, &job.queue) {
                return Reply::Inaccessible;
            }
            if let Some(runs) = pool.cancel(clock::unix(), id) {
                self.log_cancellation(id, "call", runs);
            }
        }
        self.wake.notify_one();
        self.dirty.notify_one();
        let until = Instant::now() + CANCEL_TIMEOUT;
        loop {
            let stored = self.stored.notified();
            {
                let pool = lock(&self.pool);
                if !pool.contains_job(id) || pool.is_transfer_in_doubt(id) {
                    return Reply::Unknown;
                }
                if pool.state(id).is_some_and(State::is_final) {
                    return Reply::Cancelled;
                }
            }
            tokio::select! {
                biased;
                () = stored => {}
                // A write that was sent before may still store the cancellation.
                () = self.ended.cancelled() => return Reply::Unsure,
                () = sleep_until(until) => return Reply::Unsure,
            }
        }
    }

    /// Logs that a job was cancelled and how many of its runs are to be stopped. `source` says how the owner learned of it: from a
    /// call, while it took over the pool, or from an update or a snapshot of the table of jobs.
    pub(super) fn log_cancellation(&self, id: &str, source: &str, runs: usize) {
        info!(
            job = id, source = source, runs = runs, pool = self.pool_number, epoch = self.epoch;
            "cancellation applied"
        );
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
            Inserted::IdInUse => Reply::IdInUse,
            Inserted::Refused => Reply::Refused,
            Inserted::Unsure => Reply::Unsure,
        }
    }
}
