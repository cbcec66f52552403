//! What the store tells the owner: jobs, cancels, workers.

use std::sync::Arc;

use log::warn;
use pool::{Job, Progress, State, WorkerId};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::mpsc;

use super::Owner;
use crate::clock;
use crate::follow::{Change, read, read_each};
use crate::host::lock;
use crate::interfaces::{Page, Row};
use crate::rows::{CANCEL_PREFIX, JOBS, JobRow, PROGRESS, RosterRow, job_parts, pool_part};

/// How far jobs have come, by id.
pub(super) type Courses = FxHashMap<String, Progress>;

impl Owner {
    /// Reads the workers, and how far jobs have come.
    pub(super) async fn read_workers(&self, taken: u64) -> (Page, Courses) {
        // What the former owner stored is all there as of the transaction by which this one took the pool. Reads may lag
        // behind; without that bound, tasks whose ends were noted would start again.
        let own = [pool_part(self.number)];
        let common = [String::new()];
        let store = self.host.store.as_ref();
        let (progress, listed) = tokio::join!(
            read(store, PROGRESS, &own, taken),
            read(store, &self.host.settings.store_tables.workers, &common, 0),
        );
        let courses = progress.rows.into_iter().filter_map(|row| {
            let course = serde_json::from_slice(row.value.as_deref()?).ok()?;
            Some((row.key, course))
        });
        (listed, courses.collect())
    }

    /// Reads all jobs that were accepted before this owner took the pool.
    ///
    /// A part of the store may be down for seconds, with some of the jobs. Others need not wait for those: what runs or ended
    /// of an unknown job is left alone until all are known.
    pub(super) async fn read_jobs(&self, taken: u64, to: mpsc::UnboundedSender<Page>) {
        let parts: Vec<String> = job_parts().collect();
        let store = self.host.store.as_ref();
        read_each(store, JOBS, &parts, taken, |page| drop(to.send(page))).await;
    }

    /// Takes up the jobs of a page.
    pub(super) fn take_up_jobs(&self, page: &Page, courses: &Courses) {
        let (now, unix) = (clock::now(), clock::unix());
        let mut pool = lock(&self.pool);
        for row in &page.rows {
            if let Some(id) = row.key.strip_prefix(CANCEL_PREFIX) {
                pool.cancel(unix, id);
                continue;
            }
            let course = courses.get(&row.key);
            if let Some(course) = course.filter(|it| it.state == State::Completed) {
                pool.adopt(now, unix, Arc::new(bare(row)), Some(course), true);
            } else if let Some((job, before)) = self.parse_job(row) {
                pool.adopt(now, unix, Arc::new(job), course.or(before.as_ref()), true);
            }
        }
        drop(pool);
        self.wake.notify_one();
    }

    /// Takes up the workers, with what the former owner has stored of them. Jobs should be known as far as they can be: a
    /// worker that lists ends of unknown ones is asked again and again.
    pub(super) fn inherit(self: &Arc<Self>, listed: Page, owned: &RosterRow, former: &[String]) {
        self.workers_changed(Change::Snapshot(listed));
        let names =
            |ids: &[String]| -> Vec<WorkerId> { ids.iter().map(|id| id.as_str().into()).collect() };
        let mut pool = lock(&self.pool);
        pool.set_stored_roster(&names(&owned.roster));
        // Only workers that the former owner might use count: the list may be old, and name some that are gone.
        pool.inherit(clock::now(), names(former), &owned.unavailable);
    }

    pub(super) fn jobs_changed(&self, change: Change) {
        let rows = match change {
            Change::Snapshot(page) => page.rows,
            Change::Update(feed) => feed.rows,
            Change::Failed(error) => {
                warn!(error:% = error; "jobs are not followed for now");
                return;
            }
        };
        if rows.is_empty() {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        let mut pool = lock(&self.pool);
        for row in rows.iter().filter(|row| row.value.is_some()) {
            if let Some(id) = row.key.strip_prefix(CANCEL_PREFIX) {
                pool.cancel(unix, id);
            } else if !pool.contains_job(&row.key)
                && let Some((job, before)) = self.parse_job(row)
            {
                pool.adopt(now, unix, Arc::new(job), before.as_ref(), false);
            }
        }
        drop(pool);
        self.wake.notify_one();
        self.dirty.notify_one();
    }

    pub(super) fn workers_changed(self: &Arc<Self>, change: Change) {
        let (rows, all) = match change {
            Change::Snapshot(page) => (page.rows, true),
            Change::Update(feed) => (feed.rows, false),
            Change::Failed(error) => {
                warn!(error:% = error; "workers are not followed for now");
                return;
            }
        };
        let now = clock::now();
        if all {
            self.begin_list();
            let there: FxHashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
            let gone: Vec<WorkerId> = lock(&self.pool)
                .workers()
                .filter(|worker| !there.contains(&*worker.id))
                .map(|worker| Arc::clone(&worker.id))
                .collect();
            for id in gone {
                self.gone(&id);
            }
        }
        for row in &rows {
            if row.value.is_some() && self.is_foreign(&row.key) {
                continue;
            }
            let news = row
                .value
                .as_deref()
                .and_then(|value| self.host.decode.worker(&row.key, value));
            match news {
                Some(news) => self.found(now, row.key.as_str().into(), news),
                None if row.value.is_none() => self.gone(&row.key),
                None => warn!(row = row.key.as_str(); "a row names no worker"),
            }
        }
        self.dirty.notify_one();
    }

    /// Reads a job's row, if the job is in this pool: the job, and how far it had come in another one.
    fn parse_job(&self, row: &Row) -> Option<(Job, Option<Progress>)> {
        let value = row.value.as_deref()?;
        match serde_json::from_slice::<JobRow<Job>>(value) {
            Ok(found) if found.pool != self.number => None,
            Ok(found) => Some((found.job, found.moved.map(|moved| moved.progress))),
            Err(error) => {
                warn!(row = row.key.as_str(), error:% = error; "a job's row can't be read");
                None
            }
        }
    }
}

/// A job that is completed, without what it was. Nothing of it runs or will, and only its state is asked for; most rows that a
/// new owner reads are of such jobs, and reading what they ask took half of the time until others went on.
fn bare(row: &Row) -> Job {
    Job {
        id: row.key.as_str().into(),
        ..Job::default()
    }
}
