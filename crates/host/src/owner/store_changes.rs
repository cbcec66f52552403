//! Jobs, cancellations and workers that the owner reads from the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::{error, info, warn};
use pool::WorkerId;
use rustc_hash::FxHashSet;
use tokio::sync::mpsc;

use super::Owner;
use crate::clock;
use crate::follow::{Change, PollTiming, follow, read, read_each};
use crate::host::lock;
use crate::interfaces::Page;
use crate::job_rows::{self, Filter, ProgressById};
use crate::progress_row::ProgressRow;
use crate::rows::{JOBS, PROGRESS, RosterRow, job_parts, pool_part};
use crate::withdrawals::delete_expired;
use crate::worker_feed::{ChangeFilter, follow_reader};

/// Pause after each answer with changed workers. The row of a worker changes with each of its heartbeats, which makes some thirty
/// changes a second for 48 workers. A draining worker must get nothing new from 2.5 s after its row says so.
const WORKERS_FEED_PAUSE: Duration = Duration::from_millis(350);

/// Time between two deletions of old withdrawals.
const WITHDRAWALS_INTERVAL: Duration = Duration::from_secs(5);
/// A job that reaches the owner this long after a host received it is logged, in milliseconds. Hosts report most jobs in a few.
const LATE_JOB_AGE: u64 = 1_000;

impl Owner {
    /// Reads the workers and the progress of jobs. `claimed` is the transaction by which this owner claimed the pool.
    pub(super) async fn read_workers(&self, claimed: u64) -> (Page, ProgressById) {
        // As of that transaction, everything that the former owner has stored is visible. Reads may return older data;
        // without this bound, tasks whose ends are stored would start again.
        let own_part = [pool_part(self.pool_number)];
        let unnamed_part = [String::new()];
        let store = self.host.store.as_ref();
        let (progress, listed) = tokio::join!(
            read(store, PROGRESS, &own_part, claimed),
            read(
                store,
                &self.host.settings.store_tables.workers,
                &unnamed_part,
                0
            ),
        );
        let progress = progress.rows.into_iter().filter_map(|row| {
            match ProgressRow::decode(row.value.as_deref()?) {
                Ok(progress) => Some((row.key, progress)),
                Err(error) => {
                    error!(row = row.key.as_str(), error:% = error; "progress row can't be decoded");
                    None
                }
            }
        });
        (listed, progress.collect())
    }

    /// Reads all jobs that were accepted before this owner claimed the pool, and sends them page by page.
    ///
    /// A part of the store may be down for seconds, and some jobs with it. The other jobs need not wait for these: runs and
    /// ends of unknown jobs are left alone until all jobs are known.
    pub(super) async fn read_jobs(&self, claimed: u64, pages: mpsc::UnboundedSender<Page>) {
        let parts: Vec<String> = job_parts().collect();
        let store = self.host.store.as_ref();
        read_each(store, JOBS, &parts, claimed, |page| drop(pages.send(page))).await;
    }

    /// Adds the jobs of a page to the pool, with their progress.
    pub(super) fn load_jobs(&self, page: &Page, progress: &ProgressById) {
        let (now, unix) = (clock::now(), clock::unix());
        lock(&self.withdrawals).apply(now, self.pool_number, &page.rows);
        let mut pool = lock(&self.pool);
        let report = |id: &str, runs| self.log_cancellation(id, "takeover", runs);
        job_rows::load(
            &mut pool,
            self.pool_number,
            now,
            unix,
            &page.rows,
            progress,
            report,
        );
        drop(pool);
        self.wake.notify_one();
    }

    /// Adds the workers to the pool, with the roster of the claim and that of the former owner. As many jobs as possible
    /// should be known by then, since a worker that lists ends of unknown jobs is polled again and again.
    pub(super) fn load_workers(
        self: &Arc<Self>,
        listed: Page,
        claimed: &RosterRow,
        former_roster: &[String],
    ) {
        self.workers_changed(Change::Snapshot(listed));
        let ids =
            |ids: &[String]| -> Vec<WorkerId> { ids.iter().map(|id| id.as_str().into()).collect() };
        let mut pool = lock(&self.pool);
        pool.set_stored_roster(&ids(&claimed.roster));
        // The former owner used no workers but those of its roster. The list of all workers may be old and contain removed
        // ones, so it doesn't count here.
        pool.inherit(clock::now(), ids(former_roster), &claimed.unavailable);
    }

    /// Handles changes of the table of jobs.
    pub(super) fn jobs_changed(&self, change: Change) {
        let (rows, version, source) = match change {
            Change::Snapshot(page) => (page.rows, page.version, "snapshot"),
            Change::Update(feed) => (feed.rows, feed.version, "update"),
            Change::Failed(error) => {
                warn!(error:% = error; "following jobs failed; retrying");
                return;
            }
        };
        let mut swept = lock(&self.swept_jobs);
        swept.forget_until(version);
        if rows.is_empty() {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        lock(&self.withdrawals).apply(now, self.pool_number, &rows);
        let filter = Filter {
            pool_number: self.pool_number,
            read_as_of: self.jobs_read_as_of.load(Ordering::Relaxed),
            swept: &swept,
        };
        let mut pool = lock(&self.pool);
        let report = |id: &str, runs| self.log_cancellation(id, source, runs);
        let added = job_rows::apply(&mut pool, filter, now, unix, &rows, report);
        drop(pool);
        drop(swept);
        for job in added {
            let age = unix.saturating_sub(job.accepted);
            if age > LATE_JOB_AGE {
                info!(
                    job = &*job.id, pool = self.pool_number, epoch = self.epoch, source = source, age = age;
                    "job added from its row"
                );
            }
        }
        self.wake.notify_one();
        self.dirty.notify_one();
    }

    /// Deletes the rows of withdrawn ids after the retention period, until the ownership ends. A former owner may do so too: a row is
    /// deleted only in the version that was read.
    pub(super) async fn delete_withdrawals(self: Arc<Self>) {
        let retention = self.host.settings.pool.retention;
        loop {
            tokio::time::sleep(WITHDRAWALS_INTERVAL).await;
            let store = self.host.store.as_ref();
            delete_expired(store, &self.withdrawals, clock::now(), retention).await;
        }
    }

    /// Follows the table of workers since the transaction `after`. The owner of pool 0 reads it for the owners of all pools.
    pub(super) async fn follow_workers(self: &Arc<Self>, after: u64) {
        let store = self.host.store.as_ref();
        let table = &self.host.settings.store_tables.workers;
        let timing = PollTiming::default().pause(WORKERS_FEED_PAUSE);
        if self.pool_number > 0 {
            let passed_on = self.host.subscribe_worker_changes();
            let apply = |change| self.workers_changed(change);
            follow_reader(store, table, after, passed_on, timing, clock::now, apply).await;
            return;
        }
        let mut filter = ChangeFilter::new(self.host.settings.worker_heartbeat);
        filter.skip_to(after);
        let parts = [String::new()];
        follow(store, table, &parts, Some(after), timing, |change| {
            match &change {
                Change::Snapshot(page) => filter.skip_to(page.version),
                Change::Update(feed) if self.host.pool_map().pool_count() > 1 => {
                    let decode = self.host.decode.as_ref();
                    if let Some(changes) = filter.filter(clock::now(), feed, decode) {
                        self.pass_on(&changes);
                    }
                }
                Change::Update(feed) => filter.skip_to(feed.version),
                Change::Failed(_) => {}
            }
            self.workers_changed(change);
        })
        .await;
    }

    /// Handles changes of the table of workers.
    pub(super) fn workers_changed(self: &Arc<Self>, change: Change) {
        let (rows, all) = match change {
            Change::Snapshot(page) => (page.rows, true),
            Change::Update(feed) => (feed.rows, false),
            Change::Failed(error) => {
                warn!(error:% = error; "following workers failed; retrying");
                return;
            }
        };
        let now = clock::now();
        if all {
            self.clear_directory();
            let present: FxHashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
            let removed: Vec<WorkerId> = lock(&self.pool)
                .workers()
                .filter(|worker| !present.contains(&*worker.id))
                .map(|worker| Arc::clone(&worker.id))
                .collect();
            for id in removed {
                self.worker_removed(&id);
            }
        }
        for row in &rows {
            if row.value.is_some() && self.is_foreign(&row.key) {
                continue;
            }
            let info = row
                .value
                .as_deref()
                .and_then(|value| self.host.decode.worker(&row.key, value));
            match info {
                Some(info) => self.worker_listed(now, row.key.as_str().into(), info),
                None if row.value.is_none() => self.worker_removed(&row.key),
                None => warn!(row = row.key.as_str(); "worker row can't be decoded"),
            }
        }
        self.dirty.notify_one();
    }
}
