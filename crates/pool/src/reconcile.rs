//! Reconciles the pool's state with the reports of workers.

use std::sync::Arc;

use crate::lease_bound::lapse_time;
use crate::loss::Loss;
use crate::pool::Pool;
use crate::report::{RunStatus, WorkerReport};
use crate::task::{Ms, Phase, Run, TaskKey, WorkerId};
use crate::unknown_ends::UNKNOWN_JOB_TIMEOUT;

/// A run that should be in progress but is reported neither as running nor as ended for this long counts as lost. Ends are
/// reported completely and in order, so this happens only if the worker contradicts itself.
const MISSING_RUN_TIMEOUT: Ms = 4_000;

impl Pool {
    /// Applies a worker's answer to a poll.
    pub fn apply_report(&mut self, now: Ms, unix: u64, id: &WorkerId, report: &WorkerReport) {
        if self.released_workers.contains(id) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.fenced && report.incarnation < worker.incarnation {
            return;
        }
        if report.incarnation > worker.incarnation && (worker.fenced || worker.incarnation > 0) {
            self.worker_restarted(id);
        }
        // If this owner hasn't requested a lease yet, the former owner may just have requested one of the maximum length.
        let lease_left = if report.lease > 0 {
            self.granted_lease(report.lease, report.clock)
        } else {
            self.options.requested_lease
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // The worker's clock may be slow, so only what it has reported tells the order of reports, not the time that has passed here.
        let newest = report.clock >= worker.clock.0;
        let first = !worker.fenced || worker.incarnation != report.incarnation;
        if !worker.fenced {
            worker.lease_expires_at = 0;
        }
        if first {
            worker.incarnation_since = now;
        }
        worker.fenced = true;
        worker.unresponsive = false;
        worker.incarnation = report.incarnation;
        worker.last_poll = worker.last_poll.max(report.requested_at);
        if report.clock > worker.clock.0 {
            worker.clock = (report.clock, now);
        }
        worker.lease_expires_at = worker.lease_expires_at.max(lapse_time(now, lease_left));
        self.unconfirmed_workers.remove(id);
        // An overtaken report lists no end that the newest one doesn't, and may lack some of them.
        if newest {
            self.apply_ends(now, unix, id, report);
            self.end_waits_for(id);
            self.record_ends_read(now, id, report.is_truncated(), first);
            self.end_runs_of_former_incarnation(now, unix, id, report);
            self.reconcile_runs(now, unix, id, report);
        }
    }

    /// Extends the lease of a worker that is about to be polled. Returns the end of the lease to request, on the worker's clock,
    /// or `None` if the lease must not be renewed.
    ///
    /// A poll renews the lease even if its answer is lost. So the lease counts from when it is requested, and a worker that did
    /// not answer the latest poll is polled without one until it answers. Otherwise its tasks would go on running under leases
    /// that this owner considers expired, next to the ones it starts in their place. An owner without a recent majority renews
    /// nothing: it may have been replaced by an owner that can't reach this worker and relies on the lease to expire.
    pub fn extend_lease(&mut self, now: Ms, id: &WorkerId) -> Option<Ms> {
        let requested_lease = self.options.requested_lease;
        if !self.has_quorum(now) {
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        let clock = worker.clock(now);
        if worker.unresponsive || clock == 0 || self.released_workers.contains(id) {
            return None;
        }
        worker.lease_expires_at = worker
            .lease_expires_at
            .max(lapse_time(now, requested_lease));
        Some(clock + requested_lease)
    }

    /// Records that a poll got no answer. Nothing is started on the worker until it answers one: the outcome of a start command
    /// would be unknown, and if this owner were lost as well, the next one would have to wait for the worker before it could
    /// start any inherited job.
    pub fn mark_unresponsive(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unresponsive = true;
        }
    }

    /// Handles a restart of the worker: the new incarnation has none of the runs that the former one carried out. The end of the lease
    /// stays, since the new incarnation may have replied to a start before.
    fn worker_restarted(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.ends_applied = 0;
        worker.applied_out_of_order.clear();
        worker.unstored_ends.clear();
        worker.unknown_ends = None;
        worker.ends_stored = 0;
        worker.last_listed_end = 0;
        worker.has_more_ends = false;
        worker.clock = (0, 0);
        worker.last_poll_before_restart = worker.last_poll;
        worker.failure_score = 0.0;
        worker.slowness = 1.0;
        if worker.info.draining.is_none() {
            worker.leaves_at = None;
        }
        let keys: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        self.remove_orphans(id);
        self.partly_read_workers.remove(id);
        for key in keys {
            if let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) {
                run.may_be_of_former_incarnation = true;
            }
        }
    }

    /// Compares the runs reported by a worker with the expected ones. A report that doesn't list all ends says nothing about a run
    /// that it doesn't list.
    fn reconcile_runs(&mut self, now: Ms, unix: u64, id: &WorkerId, report: &WorkerReport) {
        for row in &report.running {
            self.observe_run(now, id, row);
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_idle = worker.runs.is_empty() && worker.orphaned_runs.is_empty();
        if is_idle || report.is_truncated() {
            return;
        }
        let missing: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(key, number)| !report.lists(key, **number))
            .map(|(key, _)| key.clone())
            .collect();
        let gone_orphans: Vec<TaskKey> = worker
            .orphaned_runs
            .iter()
            .filter(|(key, orphan)| !report.lists(key, orphan.run))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) else {
                continue;
            };
            let over = match run.phase {
                Phase::Starting | Phase::Unconfirmed => report.clock > run.start_deadline,
                // A report that was long in transit says nothing about a run that was started in the meantime.
                Phase::Running => {
                    let since = run.progressed_at.max(run.requested_at);
                    report.requested_at.saturating_sub(since) > MISSING_RUN_TIMEOUT
                }
                Phase::Stopping => {
                    report.clock > run.start_deadline
                        || run.stop_confirmed > 0 && report.clock >= run.stop_confirmed
                }
            };
            if over {
                if run.phase == Phase::Running {
                    self.record_loss(now, &key, Loss::Missing);
                }
                self.end_current_run(now, &key, 0);
                self.complete_or_advance(now, unix, &key.stage.job, key.stage.occurrence);
            }
        }
        for key in gone_orphans {
            self.remove_orphan(id, &key);
        }
    }

    /// Handles a run reported by a worker.
    pub(crate) fn observe_run(&mut self, now: Ms, id: &WorkerId, row: &RunStatus) {
        let key = &row.task;
        let closed = self
            .jobs
            .get(&key.stage.job)
            .is_some_and(|live| live.state.is_final());
        self.begin_named_occurrence(now, &key.stage);
        let worker = self.workers.get(id);
        let (incarnation, clock) = worker.map_or((0, 0), |it| (it.incarnation, it.clock.0));
        let Some(task) = self.task_mut(key) else {
            self.record_orphaned_run(now, id, row);
            return;
        };
        task.highest_run = task.highest_run.max(row.run);
        let suspect = !task.crashed.is_empty();
        if !row.checkpoint.is_empty() {
            row.checkpoint.clone_into(&mut task.checkpoint);
        }
        if let Some(run) = &mut task.run
            && run.number == row.run
            && run.worker == *id
        {
            run.worker_was_up = true;
            run.confirmed_at.get_or_insert(now);
            if matches!(run.phase, Phase::Starting | Phase::Unconfirmed) {
                run.phase = Phase::Running;
                self.unconfirmed_runs.remove(key);
            }
            let run = self.task_mut(key).and_then(|task| task.run.as_mut());
            let mut former_deadline = None;
            if let Some(run) = run {
                if run.incarnation > 0 && run.incarnation != incarnation {
                    former_deadline = Some(run.start_deadline);
                    run.incarnation = incarnation;
                }
                if run.percent != row.percent {
                    run.percent = row.percent;
                    run.progressed_at = now;
                }
                run.load = row.load;
            }
            // This incarnation has carried out a start that was meant for the former one, and has the lease that it gave.
            if let Some(deadline) = former_deadline {
                self.record_lease(now, id, deadline, clock);
            }
            if suspect {
                self.handle_survival(now, key);
            }
            if closed {
                // `finalize_job` stops only the runs that are known at that time.
                self.stop_run(key);
            }
            return;
        }
        // An inherited run is known only from the former owner's roster. A reported run with a higher number proves that the former
        // owner took the inherited one for over.
        let outdated = task
            .run
            .as_ref()
            .is_some_and(|run| run.inherited && run.number < row.run);
        if task.done || closed || task.run.is_some() && !outdated {
            self.record_orphaned_run(now, id, row);
            return;
        }
        if outdated {
            self.end_run(now, key, 0);
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.run = Some(Run {
            phase: Phase::Running,
            percent: row.percent,
            load: row.load,
            worker_was_up: true,
            confirmed_at: Some(now),
            ..Run::new(row.run, Arc::clone(id), now, 0)
        });
        self.remove_orphan(id, key);
        self.reserve_capacity(key, id, row.run);
        self.mark_started(&key.stage.job);
    }

    /// Stops orphaned runs: at once if their job is known, otherwise after [`UNKNOWN_JOB_TIMEOUT`].
    pub(crate) fn stop_orphaned_runs(&mut self, now: Ms) {
        let jobs_incomplete = self.jobs_incomplete;
        for worker in self.workers.values_mut() {
            for (key, orphan) in &mut worker.orphaned_runs {
                let unknown =
                    !jobs_incomplete && now.saturating_sub(orphan.since) > UNKNOWN_JOB_TIMEOUT;
                let due = orphan.size.is_some() || unknown;
                if due && (orphan.stop_sent == 0 || now.saturating_sub(orphan.stop_sent) > 400) {
                    orphan.stop_sent = now.max(1);
                    self.commands.push(crate::Command::Stop(crate::Stop {
                        task: key.clone(),
                        run: orphan.run,
                        worker: Arc::clone(&worker.id),
                        incarnation: worker.incarnation,
                        reason: "run is not the current run of its task",
                    }));
                }
            }
        }
    }
}
