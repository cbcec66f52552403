//! Reconciles the pool's state with what workers list.

use std::sync::Arc;

use crate::listing::{Listing, Running};
use crate::loss::Loss;
use crate::pool::Pool;
use crate::task::{JobId, Ms, Phase, Run, TaskKey, WorkerId};
use crate::worker::{Stray, UnknownEnds};

/// A run of a job that nobody knows is stopped after this time. The row of a job may reach this owner later than the
/// task does (a few milliseconds as a rule, seconds while the store is in trouble).
const UNKNOWN_JOB_TIMEOUT: Ms = 3_000;
/// A run that should be there and is neither listed nor ended for this long is taken as over. Ends come in order and
/// all of them, so this happens only if the worker contradicts itself.
const MISSING_RUN_TIMEOUT: Ms = 4_000;
/// Time that covers ways, timers and rounding when a lease of a worker is reckoned on our clock.
const LEASE_SLACK: Ms = 400;

impl Pool {
    /// Applies a worker's answer to a hold.
    pub fn apply_listing(&mut self, now: Ms, unix: u64, id: &WorkerId, listing: &Listing) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.fenced && listing.born < worker.born {
            return;
        }
        if listing.born > worker.born && (worker.fenced || worker.born > 0) {
            self.worker_restarted(now, unix, id);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let newest = listing.clock >= worker.clock(listing.asked).saturating_sub(1);
        if !worker.fenced {
            worker.lapses = 0;
        }
        if !worker.fenced || worker.born != listing.born {
            worker.life_since = now;
        }
        worker.fenced = true;
        worker.unresponsive = false;
        worker.born = listing.born;
        worker.last_hold = worker.last_hold.max(listing.asked);
        if listing.clock > worker.clock.0 {
            worker.clock = (listing.clock, now);
        }
        // A former owner may have asked for the longest lease just before; without one of ours, that is what runs there.
        let left = if listing.lease > 0 {
            listing.lease.saturating_sub(listing.clock)
        } else {
            self.options.max_lease
        };
        // Its clock may be 2% slow.
        worker.lapses = worker.lapses.max(now + left + left / 33 + LEASE_SLACK);
        self.unconfirmed_workers.remove(id);
        self.apply_ends(now, unix, id, listing);
        for job in self.jobs_awaiting_worker.remove(id).unwrap_or_default() {
            if let Some(live) = self.jobs.get_mut(&job) {
                live.awaits = live.awaits.saturating_sub(1);
            }
        }
        if newest {
            self.compare(now, unix, id, listing);
        }
    }

    /// Applies the ends that are new. One of a job that nobody knows is not forgotten, nor are those after it: its row is on the
    /// way, and an end that is passed over would be lost. Those after it are applied all the same.
    fn apply_ends(&mut self, now: Ms, unix: u64, id: &WorkerId, listing: &Listing) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let applied = worker.applied;
        let before = worker.unknown_ends.take();
        let mut beyond = std::mem::take(&mut worker.beyond);
        let mut unknown: Option<UnknownEnds> = None;
        for end in listing.ended.iter().filter(|end| end.number > applied) {
            let job = &end.task.stage.job;
            if !self.jobs.contains_key(job) {
                let found = unknown.get_or_insert_with(|| UnknownEnds {
                    first: end.number,
                    since: before
                        .as_ref()
                        .filter(|before| before.first == end.number)
                        .map_or(now, |before| before.since),
                    jobs: Vec::new(),
                });
                if self.jobs_incomplete || now.saturating_sub(found.since) < UNKNOWN_JOB_TIMEOUT {
                    found.jobs.push(Arc::clone(job));
                    continue;
                }
                unknown = None;
            }
            if !beyond.remove(&end.number) {
                self.apply_end(now, unix, id, end);
            }
            if unknown.is_some() {
                beyond.insert(end.number);
            } else if let Some(worker) = self.workers.get_mut(id) {
                worker.applied = end.number;
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.beyond = beyond;
            worker.unknown_ends = unknown;
        }
    }

    /// A job has become known. Workers may have listed runs and ends of it before: it has to take up the runs, and wait
    /// for the ends to be listed again, before it starts anything.
    ///
    /// The former owner may have started it just before it was fenced, while its row reached this owner after the
    /// workers' listings. Without this it was started a second time beside the first.
    pub(crate) fn adopt_observed_runs(&mut self, now: Ms, job: &JobId) {
        let mut runs = Vec::new();
        let mut waits = Vec::new();
        for worker in self.workers.values() {
            let of = |key: &&TaskKey| key.stage.job == *job;
            for key in worker.strays.keys().filter(of) {
                let run = worker.strays.get(key).map_or(0, |stray| stray.run);
                runs.push((Arc::clone(&worker.id), key.clone(), run));
            }
            if worker
                .unknown_ends
                .as_ref()
                .is_some_and(|unknown| unknown.jobs.contains(job))
            {
                waits.push(Arc::clone(&worker.id));
            }
        }
        for (worker, task, run) in runs {
            let row = Running {
                task,
                run,
                saved: String::new(),
                percent: 0,
                load: 0,
            };
            self.observe_run(now, &worker, &row);
        }
        if let Some(live) = self.jobs.get_mut(job) {
            live.awaits = waits.len();
        }
        for worker in waits {
            self.jobs_awaiting_worker
                .entry(worker)
                .or_default()
                .push(Arc::clone(job));
        }
    }

    /// A worker is about to be held; tells the lease to ask for, on its clock, or `None` if it must not be renewed.
    ///
    /// A hold whose answer is lost has renewed the lease all the same. So the lease counts from when it is asked for, and
    /// a worker that did not answer the last hold is asked without one until it answers: else its tasks would run on, under
    /// leases that this owner takes for lapsed, beside the ones it starts in their place. An owner without a recent
    /// majority renews nothing: it may have been replaced by one that can't reach this worker and counts on its lease.
    pub fn holding(&mut self, now: Ms, id: &WorkerId) -> Option<Ms> {
        let most = self.options.max_lease;
        if !self.has_quorum(now) {
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        let clock = worker.clock(now);
        if worker.unresponsive || clock == 0 {
            return None;
        }
        worker.lapses = worker.lapses.max(now + most + most / 33 + LEASE_SLACK);
        Some(clock + most)
    }

    /// A hold got no answer. Until one does, nothing is started there: the order would be in doubt, and if the owner were
    /// lost as well, the next one would have to wait for that worker before it could start anything it inherits.
    pub fn mark_unresponsive(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unresponsive = true;
        }
    }

    /// The worker has restarted: nothing of its former life runs any more.
    fn worker_restarted(&mut self, now: Ms, unix: u64, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.applied = 0;
        worker.beyond.clear();
        worker.unknown_ends = None;
        worker.noted = 0;
        worker.clock = (0, 0);
        worker.lapses = 0;
        worker.doubt = 0.0;
        worker.slowness = 1.0;
        if worker.news.draining.is_none() {
            worker.leaves = None;
        }
        for stray in std::mem::take(&mut worker.strays).into_values() {
            worker.used = worker
                .used
                .minus(stray.size.unwrap_or_default())
                .unwrap_or_default();
        }
        let keys: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        for key in &keys {
            self.note_loss(now, key, Loss::Restarted);
        }
        for key in keys {
            let doubtful = self
                .task_mut(&key)
                .and_then(|task| task.run.as_mut())
                .is_some_and(|run| {
                    // An order that was not answered may reach the new life, which has forgotten the epoch: its
                    // room stays taken until a stop is confirmed there.
                    let doubtful = run.phase == Phase::Ordered || run.phase == Phase::Unsure;
                    if doubtful {
                        run.phase = Phase::Stopping;
                        run.stop_sent = 0;
                        run.stop_confirmed = 0;
                    }
                    doubtful
                });
            if doubtful {
                self.unconfirmed_runs.insert(key);
            } else {
                let job = Arc::clone(&key.stage.job);
                self.run_over(now, &key, 0);
                self.complete_or_advance(now, unix, &job);
            }
        }
    }

    /// Compares what runs on a worker with what should.
    fn compare(&mut self, now: Ms, unix: u64, id: &WorkerId, listing: &Listing) {
        for row in &listing.running {
            self.observe_run(now, id, row);
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.runs.is_empty() && worker.strays.is_empty() {
            return;
        }
        let full = listing.ended.len() >= 500;
        let there = |key: &TaskKey, number: u32| {
            listing
                .running
                .iter()
                .any(|row| row.run == number && row.task == *key)
        };
        let missing: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(key, number)| !there(key, **number))
            .map(|(key, _)| key.clone())
            .collect();
        let lost_strays: Vec<TaskKey> = worker
            .strays
            .iter()
            .filter(|(key, stray)| !there(key, stray.run))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) else {
                continue;
            };
            let over = match run.phase {
                Phase::Ordered | Phase::Unsure => listing.clock > run.latest,
                // An answer that was long on its way says nothing of a run that was ordered meanwhile.
                Phase::Running => {
                    !full
                        && listing.asked.saturating_sub(run.moved.max(run.ordered))
                            > MISSING_RUN_TIMEOUT
                }
                Phase::Stopping => {
                    !full
                        && (listing.clock > run.latest
                            || run.stop_confirmed > 0 && listing.clock >= run.stop_confirmed)
                }
            };
            if over {
                if run.phase == Phase::Running {
                    self.note_loss(now, &key, Loss::Missing);
                }
                self.run_over(now, &key, 0);
                self.complete_or_advance(now, unix, &key.stage.job);
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            for key in lost_strays {
                if let Some(stray) = worker.strays.remove(&key) {
                    worker.used = worker
                        .used
                        .minus(stray.size.unwrap_or_default())
                        .unwrap_or_default();
                }
            }
        }
    }

    /// Takes note of a run that a worker lists.
    fn observe_run(&mut self, now: Ms, id: &WorkerId, row: &Running) {
        let key = &row.task;
        let closed = self
            .jobs
            .get(&key.stage.job)
            .is_some_and(|live| live.state.is_final());
        let size = self.size(&key.stage);
        let Some(task) = self.task_mut(key) else {
            self.stray(now, id, row, size);
            return;
        };
        task.top = task.top.max(row.run);
        let suspect = !task.crashed.is_empty();
        if !row.saved.is_empty() {
            row.saved.clone_into(&mut task.saved);
        }
        if let Some(run) = &mut task.run
            && run.number == row.run
            && run.worker == *id
        {
            run.proven = true;
            if matches!(run.phase, Phase::Ordered | Phase::Unsure) {
                run.phase = Phase::Running;
                self.unconfirmed_runs.remove(key);
            }
            let run = self.task_mut(key).and_then(|task| task.run.as_mut());
            if let Some(run) = run {
                if run.percent != row.percent {
                    run.percent = row.percent;
                    run.moved = now;
                }
                run.load = row.load;
            }
            if suspect {
                self.note_survival(now, key);
            }
            return;
        }
        // A later start proves that the former owner took an earlier run, of which only its roster tells, for over.
        let outdated = task
            .run
            .as_ref()
            .is_some_and(|run| run.inherited && run.number < row.run);
        if task.done || closed || task.run.is_some() && !outdated {
            self.stray(now, id, row, size);
            return;
        }
        if outdated {
            self.run_over(now, key, 0);
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.run = Some(Run {
            phase: Phase::Running,
            percent: row.percent,
            load: row.load,
            proven: true,
            ..Run::new(row.run, Arc::clone(id), now, 0)
        });
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(stray) = worker.strays.remove(key)
        {
            worker.used = worker
                .used
                .minus(stray.size.unwrap_or_default())
                .unwrap_or_default();
        }
        self.attach(key, id, row.run);
        self.started(&key.stage.job);
    }

    /// A run that no task calls its own: it takes room until it is gone.
    fn stray(&mut self, now: Ms, id: &WorkerId, row: &Running, size: Option<resource::Size>) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let known = worker.strays.get_mut(&row.task);
        let stray = Stray {
            run: row.run,
            size,
            since: known.as_ref().map_or(now, |stray| stray.since),
            stop_sent: known.as_ref().map_or(0, |stray| stray.stop_sent),
        };
        let before = worker.strays.insert(row.task.clone(), stray);
        let before = before.and_then(|stray| stray.size).unwrap_or_default();
        worker.used = worker
            .used
            .minus(before)
            .unwrap_or_default()
            .plus(size.unwrap_or_default());
    }

    /// Stops strays: at once if their job is known, after a while if it isn't.
    pub(crate) fn stop_strays(&mut self, now: Ms) {
        let partial = self.jobs_incomplete;
        for worker in self.workers.values_mut() {
            for (key, stray) in &mut worker.strays {
                let unknown = !partial && now.saturating_sub(stray.since) > UNKNOWN_JOB_TIMEOUT;
                let due = stray.size.is_some() || unknown;
                if due && (stray.stop_sent == 0 || now.saturating_sub(stray.stop_sent) > 400) {
                    stray.stop_sent = now.max(1);
                    self.commands.push(crate::Command::Stop(crate::Stop {
                        task: key.clone(),
                        run: stray.run,
                        worker: Arc::clone(&worker.id),
                        reason: "no task calls this run its own",
                    }));
                }
            }
        }
    }
}
