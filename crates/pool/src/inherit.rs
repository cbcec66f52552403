//! Restrictions on a new owner: tasks that the former owner may have started on workers that haven't reported yet, and jobs that
//! the new owner could not read yet.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::job::Job;
use crate::lapsed_lease::LeaseBasis;
use crate::lease_bound::lapse_time;
use crate::pool::Pool;
use crate::task::{JobId, Ms, Phase, Run, TaskKey, WorkerId};
use crate::worker::{UnavailableWorker, Worker};

/// All ends of a worker have been read, after a first report that was truncated.
#[derive(Clone, Debug)]
pub struct EndsRead {
    /// The worker.
    pub worker: WorkerId,
    /// Number of the last end.
    pub ends: u64,
    /// Time since the first report, in milliseconds.
    pub took: Ms,
}

impl Pool {
    /// Sets the workers of the former owner that must report before inherited jobs may start new tasks. The wait ends when all
    /// commands and leases of the former owner have certainly expired. For workers that were already unavailable to the
    /// former owner, `unavailable` holds the runs they may have, and only those tasks wait.
    ///
    /// Without this wait, a task that still runs on a worker that only the new owner can't reach would run a second time.
    pub fn inherit(
        &mut self,
        now: Ms,
        workers: impl IntoIterator<Item = WorkerId>,
        unavailable: &[UnavailableWorker],
    ) {
        self.quorum_since = None;
        let is_unavailable = |id: &WorkerId| unavailable.iter().any(|entry| entry.worker == *id);
        self.unconfirmed_workers = workers
            .into_iter()
            .filter(|id| !is_unavailable(id))
            .filter(|id| self.workers.get(id).is_none_or(|worker| !worker.fenced))
            .collect();
        for entry in unavailable {
            let worker = self.workers.entry(Arc::clone(&entry.worker)).or_default();
            // Sessions with workers begin before the former owner's roster is known.
            if worker.fenced {
                continue;
            }
            worker.id = Arc::clone(&entry.worker);
            worker.slowness = 1.0;
            worker.lease_expires_at = Ms::MAX;
            worker.incarnation = entry.incarnation;
        }
        self.unavailable = unavailable.to_vec();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.assume_unreported_runs(now, job);
        }
    }

    /// Runs that a worker may have, in order. Those of jobs that this owner hasn't read are among them: the next owner may know the jobs.
    /// A worker that hasn't reported may have all runs that the former owner has listed.
    pub(crate) fn possible_runs(&self, worker: &Worker) -> Vec<(TaskKey, u32)> {
        let current = worker.runs.iter().map(|(key, run)| (key.clone(), *run));
        let orphaned = worker.orphaned_runs.iter();
        let orphaned = orphaned.map(|(key, orphan)| (key.clone(), orphan.run));
        let unreported = self.unavailable.iter();
        let unreported = unreported.filter(|it| !worker.fenced && it.worker == worker.id);
        let unreported = unreported.flat_map(|it| it.runs.iter().cloned());
        let mut runs: Vec<(TaskKey, u32)> = current.chain(orphaned).chain(unreported).collect();
        runs.sort();
        runs.dedup();
        runs
    }

    /// Holds back the tasks of a job that may run on workers that neither the former owner could reach nor this owner has
    /// reached yet. If a task may have several runs there, the latest one counts as current, and after its end the one before.
    pub(crate) fn assume_unreported_runs(&mut self, now: Ms, job: &JobId) {
        let mut runs = Vec::new();
        for entry in &self.unavailable {
            let answered = self.workers.get(&entry.worker).is_none_or(|it| it.fenced);
            let of_job = entry.runs.iter().filter(|(key, _)| key.stage.job == *job);
            runs.extend(
                of_job
                    .filter(|_| !answered)
                    .map(|(key, number)| (key.clone(), *number, Arc::clone(&entry.worker))),
            );
        }
        runs.sort_by_key(|(_, number, _)| Reverse(*number));
        for (key, number, worker) in runs {
            self.begin_named_occurrence(now, &key.stage);
            let Some(task) = self.task_mut(&key) else {
                continue;
            };
            task.highest_run = task.highest_run.max(number);
            if task.done || task.run.is_some() {
                continue;
            }
            task.run = Some(Run {
                phase: Phase::Unconfirmed,
                inherited: true,
                ..Run::new(number, Arc::clone(&worker), now, 0)
            });
            self.reserve_capacity(&key, &worker, number);
        }
    }

    /// Ends the current run of a task. If the task may have another run on a worker that hasn't reported, that one is current from now on.
    pub(crate) fn end_current_run(&mut self, now: Ms, key: &TaskKey, retry: Ms) {
        self.end_run(now, key, retry);
        if !self.unavailable.is_empty() {
            self.assume_unreported_runs(now, &key.stage.job);
        }
    }

    /// Sets whether jobs accepted before this owner took over may be missing, because a part of the store doesn't answer. Until
    /// all are known, runs and ends of unknown jobs are left alone, however long that takes.
    pub fn set_jobs_incomplete(&mut self, now: Ms, incomplete: bool) {
        self.jobs_incomplete = incomplete;
        if incomplete {
            return;
        }
        self.early_cancels.clear();
        for worker in self.workers.values_mut() {
            for orphan in worker.orphaned_runs.values_mut() {
                orphan.since = now;
            }
            if let Some(unknown) = &mut worker.unknown_ends {
                unknown.since = now;
            }
        }
    }

    /// Time after which no command of the former owner can take effect: it has lost its majority, and its last commands have
    /// expired. `None` until this owner has a majority.
    pub(crate) fn former_commands_end(&self) -> Option<Ms> {
        let since = self.quorum_since?;
        Some(since + self.options.quorum_validity + self.options.command_ttl)
    }

    /// Time after which all leases of the former owner have expired. `None` until this owner has a majority.
    pub(crate) fn former_leases_end(&self) -> Option<Ms> {
        let last_request = self.former_commands_end()?;
        Some(lapse_time(last_request, self.options.requested_lease))
    }

    /// Ends the wait for unreported workers once all commands and leases of the former owner have expired. Unless the former owner
    /// has handed the time over, which may be later too, it is bounded only from when this owner first had a majority.
    pub(crate) fn settle_inheritance(&mut self, now: Ms) {
        if self.quorum_since.is_none() && self.has_quorum(now) {
            self.quorum_since = Some(now);
        }
        if self.former_leases_end().is_some_and(|end| now >= end) {
            for id in self.unbounded_workers() {
                self.end_wait_for(now, &id, LeaseBasis::FormerOwner);
            }
        }
        let lapsed = self.lease_bounds.extract_if(|_, at| *at <= now);
        let lapsed: Vec<WorkerId> = lapsed.map(|(id, _)| id).collect();
        for id in lapsed {
            self.end_wait_for(now, &id, LeaseBasis::HandedOver);
        }
    }

    /// The workers that this owner waits for without a time that the former owner has handed over.
    fn unbounded_workers(&self) -> Vec<WorkerId> {
        let unavailable = self.unavailable.iter().map(|entry| &entry.worker);
        let awaited = self.unconfirmed_workers.iter().chain(unavailable);
        let unbounded = awaited.filter(|id| !self.lease_bounds.contains_key(*id));
        unbounded.cloned().collect()
    }

    /// Ends the wait for a worker whose leases have expired, unless it has reported.
    fn end_wait_for(&mut self, now: Ms, id: &WorkerId, basis: LeaseBasis) {
        let unavailable = self.unavailable.iter().any(|entry| entry.worker == *id);
        let awaited = self.unconfirmed_workers.remove(id) || unavailable;
        self.unavailable.retain(|entry| entry.worker != *id);
        let worker = self.workers.get_mut(id);
        if worker.as_ref().is_some_and(|worker| worker.fenced) {
            return;
        }
        if let Some(worker) = worker {
            worker.lease_expires_at = worker.lease_expires_at.min(now);
        }
        if awaited {
            self.record_lapsed_lease(now, id, basis);
        }
    }

    /// Whether an inherited job may be running on a worker that hasn't reported yet.
    pub(crate) fn may_run_on_unconfirmed(&self, job: &Job) -> bool {
        let mut unconfirmed = self.unconfirmed_workers.iter();
        unconfirmed.any(|id| self.may_run_service(id, &job.service))
    }

    /// Whether an inherited job may have ended runs that this owner hasn't read yet.
    pub(crate) fn may_have_unread_ends(&self, job: &Job) -> bool {
        let mut partly_read = self.partly_read_workers.keys();
        partly_read.any(|id| self.may_run_service(id, &job.service))
    }

    /// Whether a worker may run tasks of a service. A worker whose service is known runs only tasks of that service.
    fn may_run_service(&self, id: &WorkerId, service: &str) -> bool {
        let known = self.workers.get(id).map(|it| it.info.service.as_str());
        known.is_none_or(|known| known.is_empty() || known == service)
    }

    /// Records whether a report listed all ends of a worker. A report that is truncated and the first one of its incarnation leaves
    /// ends of the former owner's runs unread, until a report that isn't truncated.
    pub(crate) fn record_ends_read(
        &mut self,
        now: Ms,
        id: &WorkerId,
        truncated: bool,
        first: bool,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.has_more_ends = truncated;
        let ends = worker.ends_applied;
        if truncated && first {
            self.partly_read_workers.insert(Arc::clone(id), now);
        } else if !truncated && let Some(since) = self.partly_read_workers.remove(id) {
            self.ends_read.push(EndsRead {
                worker: Arc::clone(id),
                ends,
                took: now.saturating_sub(since),
            });
        }
    }

    /// Workers with unread ends of runs that a former owner may have started; inherited jobs wait for them.
    pub fn partly_read_workers(&self) -> impl ExactSizeIterator<Item = &WorkerId> {
        self.partly_read_workers.keys()
    }

    /// Returns and clears the workers whose ends have all been read since the last call.
    pub fn take_ends_read(&mut self) -> Vec<EndsRead> {
        std::mem::take(&mut self.ends_read)
    }

    /// Workers of the former owner that haven't reported to this one; inherited jobs wait for them.
    #[must_use]
    pub fn unconfirmed_workers(&self) -> &BTreeSet<WorkerId> {
        &self.unconfirmed_workers
    }
}
