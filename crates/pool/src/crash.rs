//! Detects tasks that crash their workers.
//!
//! A worker that crashes reports neither the end of its runs nor which of them was the cause. So a crash is recorded for each
//! task whose run had only just begun. Such a task, a suspect, is not started together with other suspects: this separates the
//! cause of a crash from its neighbours, which run stably elsewhere and lose their records. A task with [`MAX_CRASHES`] records
//! is abandoned and its job fails.
//!
//! The records are stored with the progress of the job, so that the next owner continues from them. An owner may be lost before it
//! learns whether a start has crashed its worker, or was carried out at all. So a start of a suspect is stored with its worker, and
//! the next owner counts it as a confirmed crash only if that worker was lost: it reports another incarnation, or never reports.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::loss::Loss;
use crate::pool::Pool;
use crate::progress::UnresolvedStart;
use crate::report::WorkerReport;
use crate::state::State;
use crate::task::{Ms, Run, Task, TaskKey, WorkerId};
use crate::worker::Worker;

/// A run counts as a possible cause of a crash only if the worker answered no poll that was sent this long or longer after the
/// start command.
const CRASH_WINDOW: Ms = 2_000;
/// A crash counts as confirmed only if the worker had been up for this long when the task was started on it. One that had not may
/// be restarting for reasons of its own.
pub(crate) const STEADY_AFTER: Ms = 2 * CRASH_WINDOW;
/// A task that has run for this long is stable: all its crash records are dropped.
pub(crate) const STABLE_AFTER: Ms = 10_000;
/// A task that has crashed this many workers is isolated: nothing else is started on its worker until it has outlived
/// [`CRASH_WINDOW`].
pub(crate) const MIN_CRASHES_TO_ISOLATE: usize = 2;
/// A task with this many crash records is abandoned if at least [`MIN_CONFIRMED_CRASHES`] of them are confirmed.
const MAX_CRASHES: usize = 3;
/// Minimum number of confirmed crash records of an abandoned task.
const MIN_CONFIRMED_CRASHES: usize = 2;

/// A worker that the directory doesn't list counts as lost only after this time: entries that expired while the store was down are back within
/// two seconds of its return.
const ENTRY_RETURN_TIMEOUT: Ms = 3_000;

/// Tasks with starts by a former owner whose outcome only one worker can tell.
#[derive(Clone, Debug)]
pub(crate) struct UnresolvedStarts {
    /// When the first of them became known to this owner.
    since: Ms,
    tasks: Vec<TaskKey>,
}

/// Workers that run suspects still within [`CRASH_WINDOW`], with the highest number of crashes of any such suspect.
pub(crate) type SuspectsByWorker = FxHashMap<WorkerId, usize>;

/// A worker that had been up for [`STEADY_AFTER`] when a start command was sent to it.
#[derive(Clone, Debug)]
pub(crate) struct SteadyWorker {
    id: WorkerId,
    incarnation: u64,
}

impl SteadyWorker {
    /// Returns `None` if the worker has not been up for [`STEADY_AFTER`]; `unix` is the present time in Unix milliseconds.
    pub(crate) fn new(worker: &Worker, unix: u64) -> Option<Self> {
        is_steady(worker, unix).then(|| Self {
            id: Arc::clone(&worker.id),
            incarnation: worker.incarnation,
        })
    }
}

/// Record of a run that may have crashed its worker.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Whether the worker was certainly up when the start command was sent, and had been for [`STEADY_AFTER`]. Otherwise it may have
    /// been down already, or restart whatever runs on it.
    pub confirmed: bool,
    /// The worker that the start command was sent to, if it was steady and the outcome isn't known yet.
    pub started_on: Option<SteadyWorker>,
}

impl Crash {
    pub(crate) const fn new(run: u32, confirmed: bool) -> Self {
        Self {
            run,
            confirmed,
            started_on: None,
        }
    }
}

/// Whether the loss of a run was recorded as a crash of its task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashRecord {
    /// The run isn't the cause.
    None,
    /// The run may be the cause, or the worker may have been down already or restart whatever runs on it.
    Unconfirmed,
    /// The run may be the cause, and the worker was up and steady.
    Confirmed,
}

impl CrashRecord {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Unconfirmed => "unconfirmed",
            Self::Confirmed => "confirmed",
        }
    }
}

/// What became of a start by a former owner.
enum StartOutcome {
    Running,
    NotStarted,
    WorkerLost,
}

/// Crash history of a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    /// Number of workers that the task may have crashed.
    pub crashes: usize,
    /// When the loss of the latest of them was detected.
    pub since: Ms,
}

/// A task that was abandoned because its runs crashed their workers.
#[derive(Clone, Debug)]
pub struct AbandonedTask {
    /// The task.
    pub task: TaskKey,
    /// Numbers of the runs that crashed their workers, or may have.
    pub crashed: Vec<u32>,
}

/// Whether the incarnation of a worker has been up for [`STEADY_AFTER`]; `unix` is the present time in Unix milliseconds. One that
/// doesn't report its start counts as steady.
pub(crate) fn is_steady(worker: &Worker, unix: u64) -> bool {
    unix.saturating_sub(worker.incarnation) >= STEADY_AFTER
}

impl Run {
    /// Whether a crash of the worker could still be attributed to this run, given when the latest answered poll was sent.
    const fn is_in_crash_window(&self, last_poll: Ms) -> bool {
        last_poll.saturating_sub(self.requested_at) < CRASH_WINDOW
    }
}

impl Task {
    /// Restores the crash records stored by the former owner, some of which are `unconfirmed`.
    pub(crate) fn restore_crashes(&mut self, runs: &[u32], unconfirmed: &[u32]) {
        self.crashed = runs
            .iter()
            .map(|&run| Crash::new(run, !unconfirmed.contains(&run)))
            .collect();
        self.crashes_stored = runs.len();
        self.highest_run = self
            .highest_run
            .max(runs.iter().max().copied().unwrap_or(0));
    }

    /// Restores the worker of a start whose outcome the former owner didn't know.
    pub(crate) fn restore_start(&mut self, start: &UnresolvedStart) {
        let crash = self.crashed.iter_mut().find(|it| it.run == start.run);
        if let Some(crash) = crash {
            crash.started_on = Some(SteadyWorker {
                id: Arc::clone(&start.worker),
                incarnation: start.incarnation,
            });
        }
    }

    /// The starts whose outcome isn't known, as they are stored; `index` is that of the task.
    pub(crate) fn unresolved_starts(&self, index: u32) -> impl Iterator<Item = UnresolvedStart> {
        self.crashed.iter().filter_map(move |crash| {
            let worker = crash.started_on.as_ref()?;
            Some(UnresolvedStart {
                task: index,
                run: crash.run,
                worker: Arc::clone(&worker.id),
                incarnation: worker.incarnation,
            })
        })
    }

    /// Number of workers that the task may have crashed, not counting its current run and an announced one.
    pub(crate) fn crashes(&self) -> usize {
        self.past_crashes().count()
    }

    fn past_crashes(&self) -> impl Iterator<Item = &Crash> {
        let current = self.run.as_ref().map(|run| run.number);
        self.crashed
            .iter()
            .filter(move |it| Some(it.run) != current && Some(it.run) != self.announced)
    }

    /// Whether the task has crashed so many workers that it must not be started again.
    fn is_crash_loop(&self) -> bool {
        let confirmed = self.past_crashes().filter(|crash| crash.confirmed).count();
        self.crashes() >= MAX_CRASHES && confirmed >= MIN_CONFIRMED_CRASHES
    }

    /// Numbers of the recorded runs, as they are stored.
    pub(crate) fn crashed_runs(&self) -> Vec<u32> {
        self.crashed.iter().map(|crash| crash.run).collect()
    }

    /// Numbers of the recorded runs that aren't confirmed as crashes, as they are stored.
    pub(crate) fn unconfirmed_crashes(&self) -> Vec<u32> {
        let unconfirmed = self.crashed.iter().filter(|crash| !crash.confirmed);
        unconfirmed.map(|crash| crash.run).collect()
    }

    /// The crash history of the task.
    pub(crate) fn suspicion(&self) -> Suspicion {
        Suspicion {
            crashes: self.crashes(),
            since: self.crashed_at,
        }
    }

    /// The worker of a start whose outcome isn't known.
    fn unresolved_start(&self, number: u32) -> Option<&SteadyWorker> {
        let crash = self.crashed.iter().find(|crash| crash.run == number);
        crash.and_then(|crash| crash.started_on.as_ref())
    }

    /// Confirms the record of a start whose worker was lost.
    fn confirm_crash(&mut self, number: u32) {
        if let Some(crash) = self.crashed.iter_mut().find(|it| it.run == number) {
            crash.confirmed = true;
            crash.started_on = None;
        }
    }

    /// Drops the record of a run that its worker has survived; returns whether there was one.
    pub(crate) fn clear_crash(&mut self, number: u32) -> bool {
        let before = self.crashed.len();
        self.crashed.retain(|crash| crash.run != number);
        before != self.crashed.len()
    }

    /// Drops the record of a run that has outlived [`CRASH_WINDOW`], and all earlier records but one; returns whether there were
    /// any. One stays because a worker on which tasks have stalled doesn't crash either, so one survival doesn't clear the task.
    fn clear_survived(&mut self, number: u32) -> bool {
        let before = self.crashed.len();
        self.clear_crash(number);
        self.crashed.truncate(1);
        before != self.crashed.len()
    }

    /// Records a start of a suspect until the worker is known to have survived it, unconfirmed: this owner may be lost before it
    /// learns the outcome. The same applies to a task that a former owner may have started, because it may have been lost with a
    /// worker that crashed. Returns whether a record was made.
    pub(crate) fn assume_crash(
        &mut self,
        number: u32,
        inherited: bool,
        worker: Option<&SteadyWorker>,
    ) -> bool {
        if let Some(announced) = self.announced.take() {
            self.clear_crash(announced);
        }
        let is_suspect = !self.crashed.is_empty();
        if !is_suspect && !inherited {
            return false;
        }
        // Most inherited tasks are no suspects, and the workers of all of them would take much of the row.
        let started_on = worker.filter(|_| is_suspect).cloned();
        self.crashed.push(Crash {
            started_on,
            ..Crash::new(number, false)
        });
        true
    }

    /// Whether the next start must be stored before its command is sent, and isn't yet. If the owner were lost together with the
    /// worker, the next owner would not count that start.
    pub(crate) fn awaits_storing(&self) -> bool {
        self.crashed.len() >= MIN_CRASHES_TO_ISOLATE && self.unstored_crashes() > 0
    }

    /// Number of crash records that aren't stored.
    pub(crate) fn unstored_crashes(&self) -> usize {
        self.crashed.len().saturating_sub(self.crashes_stored)
    }
}

impl Pool {
    /// Records a crash for the current run of a task whose worker was lost, if the run may be the cause.
    pub(crate) fn record_crash(&mut self, now: Ms, key: &TaskKey, loss: Loss) -> CrashRecord {
        let Some(run) = self.task_mut(key).and_then(|task| task.run.clone()) else {
            return CrashRecord::None;
        };
        let Some(worker) = self.workers.get(&run.worker) else {
            return CrashRecord::None;
        };
        let was_leaving = worker.leaves_at.is_some();
        let last_poll = worker.last_poll_before(loss);
        if loss == Loss::Missing || was_leaving || !run.is_in_crash_window(last_poll) {
            return CrashRecord::None;
        }
        let Some(task) = self.task_mut(key) else {
            return CrashRecord::None;
        };
        let was_steady = run.worker_was_steady || task.unresolved_start(run.number).is_some();
        let confirmed = was_steady && (run.worker_was_up || run.inherited);
        task.crashed_at = now;
        if let Some(run) = &mut task.run {
            run.may_have_crashed_worker = true;
        }
        task.clear_crash(run.number);
        task.crashed.push(Crash::new(run.number, confirmed));
        self.suspects.insert(key.clone());
        self.mark_dirty(&key.stage.job);
        if confirmed {
            CrashRecord::Confirmed
        } else {
            CrashRecord::Unconfirmed
        }
    }

    /// Handles a report of the current run of a suspect. When the run has outlived [`CRASH_WINDOW`], its crash record is dropped;
    /// after [`STABLE_AFTER`], all records of the task are.
    pub(crate) fn handle_survival(&mut self, now: Ms, key: &TaskKey) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(run) = &task.run else { return };
        let (number, ran) = (run.number, now.saturating_sub(run.requested_at));
        let changed = if ran >= STABLE_AFTER {
            !std::mem::take(&mut task.crashed).is_empty()
        } else {
            ran >= CRASH_WINDOW && task.clear_survived(number)
        };
        if changed {
            self.mark_dirty(&key.stage.job);
        }
    }

    /// Finds the suspects of a job that was restored from stored progress.
    pub(crate) fn find_suspects(&mut self, now: Ms, job: &str) {
        let Some(live) = self.jobs.get(job) else {
            return;
        };
        for (key, task) in live.tasks().filter(|(_, task)| !task.crashed.is_empty()) {
            for worker in task.crashed.iter().filter_map(|it| it.started_on.as_ref()) {
                let starts = self.unresolved_starts.entry(Arc::clone(&worker.id));
                let starts = starts.or_insert_with(|| UnresolvedStarts {
                    since: now,
                    tasks: Vec::new(),
                });
                starts.tasks.push(key.clone());
            }
            self.suspects.insert(key);
        }
    }

    /// Decides with a complete report of a worker which starts by a former owner have crashed it. The incarnation that a start was
    /// sent to is still up: the start was not carried out, unless the report lists it. Another one is: the start is confirmed as
    /// a crash.
    pub(crate) fn resolve_starts(&mut self, id: &WorkerId, report: &WorkerReport) {
        for key in self.take_unresolved_starts(id) {
            self.resolve_starts_of(&key, id, |start| {
                if report.lists(&key, start.run) {
                    StartOutcome::Running
                } else if report.incarnation == start.incarnation {
                    StartOutcome::NotStarted
                } else {
                    StartOutcome::WorkerLost
                }
            });
        }
    }

    /// Confirms the starts by a former owner on workers that are gone: their leases have expired and the directory dropped them.
    fn resolve_starts_on_lost_workers(&mut self, now: Ms) {
        let is_lost = |id: &WorkerId, since: Ms| match self.workers.get(id) {
            _ if self.unconfirmed_workers.contains(id) => false,
            Some(worker) => !worker.registered && worker.lease_expires_at < now,
            None => now.saturating_sub(since) >= ENTRY_RETURN_TIMEOUT,
        };
        let lost = self.unresolved_starts.iter();
        let lost = lost.filter(|(id, starts)| is_lost(id, starts.since));
        let lost: Vec<WorkerId> = lost.map(|(id, _)| Arc::clone(id)).collect();
        for id in lost {
            for key in self.take_unresolved_starts(&id) {
                self.resolve_starts_of(&key, &id, |_| StartOutcome::WorkerLost);
            }
        }
    }

    fn take_unresolved_starts(&mut self, id: &WorkerId) -> Vec<TaskKey> {
        let starts = self.unresolved_starts.remove(id);
        starts.map_or_else(Vec::new, |starts| starts.tasks)
    }

    /// Updates the records of a task's unresolved starts on a worker. The current run is left alone: its end or its loss decides.
    fn resolve_starts_of(
        &mut self,
        key: &TaskKey,
        id: &WorkerId,
        outcome: impl Fn(&UnresolvedStart) -> StartOutcome,
    ) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let current = task.run.as_ref().map(|run| run.number);
        let starts: Vec<UnresolvedStart> = task.unresolved_starts(key.index).collect();
        for start in starts.iter().filter(|start| start.worker == *id) {
            if Some(start.run) == current {
                continue;
            }
            match outcome(start) {
                StartOutcome::Running => {}
                StartOutcome::NotStarted => {
                    task.clear_crash(start.run);
                }
                StartOutcome::WorkerLost => task.confirm_crash(start.run),
            }
        }
        self.mark_dirty(&key.stage.job);
    }

    /// Reviews the suspects that wait for a start: after too many crashes their jobs fail, and from the second crash on the next
    /// start is announced in the store first.
    pub(crate) fn review_suspects(&mut self, now: Ms, unix: u64) {
        self.resolve_starts_on_lost_workers(now);
        let suspects: Vec<TaskKey> = self.suspects.iter().cloned().collect();
        for key in suspects {
            let live = self.jobs.get(&key.stage.job);
            let open = live.is_some_and(|live| !live.state.is_final());
            let held_back = live.is_some_and(|live| {
                live.awaited_workers > 0 || live.inherited && self.may_run_on_unconfirmed(&live.job)
            });
            let task = self.task_mut(&key);
            let Some(task) = task.filter(|task| open && !task.crashed.is_empty()) else {
                self.suspects.remove(&key);
                continue;
            };
            if task.done || task.run.is_some() || held_back {
                continue;
            }
            if task.is_crash_loop() {
                let crashed = task.crashed_runs();
                self.suspects.remove(&key);
                self.finalize_job(unix, &key.stage.job, State::Failed);
                self.abandoned.push(AbandonedTask { task: key, crashed });
            } else if task.crashes() >= MIN_CRASHES_TO_ISOLATE
                && task.announced.is_none()
                && task.retry_at <= now
            {
                let next = task.highest_run + 1;
                task.announced = Some(next);
                task.crashed.push(Crash::new(next, false));
                self.mark_dirty(&key.stage.job);
            }
        }
    }

    /// Returns and clears the tasks abandoned since the last call.
    pub fn take_abandoned_tasks(&mut self) -> Vec<AbandonedTask> {
        std::mem::take(&mut self.abandoned)
    }

    /// Determines which workers run suspects that are still within [`CRASH_WINDOW`].
    pub(crate) fn locate_suspects(&mut self) {
        let mut suspects = SuspectsByWorker::default();
        for key in &self.suspects {
            let task = self.stage(&key.stage);
            let Some(task) = task.and_then(|stage| stage.tasks.get(key.index as usize)) else {
                continue;
            };
            let Some(run) = &task.run else { continue };
            let last_poll = self.workers.get(&run.worker).map_or(0, |it| it.last_poll);
            if run.is_in_crash_window(last_poll) {
                let max_crashes = suspects.entry(Arc::clone(&run.worker)).or_default();
                *max_crashes = (*max_crashes).max(task.crashes());
            }
        }
        self.suspects_by_worker = suspects;
    }
}
