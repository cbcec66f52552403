//! What a new owner has to wait for: what its predecessor may have started where nobody has looked yet, and jobs that it
//! could not read yet.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::job::Job;
use crate::pool::Pool;
use crate::task::{JobId, Ms, Phase, Run, WorkerId};
use crate::worker::Silent;

impl Pool {
    /// A new owner has to hear from these workers before jobs it inherits may start anew, but waits no longer than the
    /// time after which the former owner's orders and leases are surely over. Of workers that were silent already it is
    /// known what may run there: only those tasks wait.
    ///
    /// Without this, a task that still runs on a worker which only the new owner can't reach would run a second time.
    pub fn inherit(
        &mut self,
        now: Ms,
        workers: impl IntoIterator<Item = WorkerId>,
        silent: &[Silent],
    ) {
        self.quorum_since = None;
        let quiet = |id: &WorkerId| silent.iter().any(|silent| silent.worker == *id);
        self.unconfirmed_workers = workers
            .into_iter()
            .filter(|id| !quiet(id))
            .filter(|id| self.workers.get(id).is_none_or(|worker| !worker.fenced))
            .collect();
        for silent in silent {
            let worker = self.workers.entry(Arc::clone(&silent.worker)).or_default();
            worker.id = Arc::clone(&silent.worker);
            worker.slowness = 1.0;
            worker.lapses = Ms::MAX;
            worker.born = silent.born;
        }
        self.unavailable = silent.to_vec();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.hold_back(now, job);
        }
    }

    /// Holds back the tasks of a job that may run on workers which the former owner could not reach, nor this one yet.
    pub(crate) fn hold_back(&mut self, now: Ms, job: &JobId) {
        let mut runs = Vec::new();
        for silent in &self.unavailable {
            let answered = self.workers.get(&silent.worker).is_none_or(|it| it.fenced);
            let of = silent.runs.iter().filter(|(key, _)| key.stage.job == *job);
            runs.extend(
                of.filter(|_| !answered)
                    .map(|(key, number)| (key.clone(), *number, Arc::clone(&silent.worker))),
            );
        }
        for (key, number, worker) in runs {
            let Some(task) = self.task_mut(&key) else {
                continue;
            };
            if task.done || task.run.is_some() {
                continue;
            }
            task.top = task.top.max(number);
            task.run = Some(Run {
                phase: Phase::Unsure,
                inherited: true,
                ..Run::new(number, Arc::clone(&worker), now, 0)
            });
            self.attach(&key, &worker, number);
        }
    }

    /// Whether there are jobs, accepted before this owner came, that it can't know yet: a part of the store doesn't answer.
    /// Until all are known, a run or an end of an unknown job is left alone, however long that takes.
    pub fn set_partial(&mut self, now: Ms, partial: bool) {
        self.jobs_incomplete = partial;
        if partial {
            return;
        }
        self.early_cancels.clear();
        for worker in self.workers.values_mut() {
            for stray in worker.strays.values_mut() {
                stray.since = now;
            }
            if let Some(unknown) = &mut worker.unknown_ends {
                unknown.since = now;
            }
        }
    }

    /// The former owner gives no order after this: it has lost its majority, and its last orders are too late.
    pub(crate) fn former_orders_end(&self) -> Option<Ms> {
        let since = self.quorum_since?;
        Some(since + self.options.quorum_validity + self.options.command_ttl)
    }

    /// Once a majority is behind this owner, the time until which others may run something unknown is bounded.
    pub(crate) fn settle_inheritance(&mut self, now: Ms) {
        if self.quorum_since.is_none() && self.has_quorum(now) {
            self.quorum_since = Some(now);
        }
        // Clocks of workers may be 2% slow; 400 ms cover ways and timers.
        let leases = self.options.max_lease + self.options.max_lease / 33 + 400;
        if self
            .former_orders_end()
            .is_some_and(|end| now >= end + leases)
        {
            self.unconfirmed_workers.clear();
            self.unavailable.clear();
            for worker in self.workers.values_mut() {
                if !worker.fenced {
                    worker.lapses = worker.lapses.min(now);
                }
            }
        }
    }

    /// Whether an inherited job may run on a worker that has not answered yet, as far as is known of it: a worker runs tasks of
    /// its own service alone.
    pub(crate) fn may_run_unseen(&self, job: &Job) -> bool {
        self.unconfirmed_workers.iter().any(|id| {
            let service = self.workers.get(id).map(|it| it.news.service.as_str());
            service.is_none_or(|service| service.is_empty() || service == job.service)
        })
    }

    /// Workers of the former owner that have not answered yet: inherited jobs wait for them.
    #[must_use]
    pub fn unseen(&self) -> &BTreeSet<WorkerId> {
        &self.unconfirmed_workers
    }
}
