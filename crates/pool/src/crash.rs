//! Tasks that crash the workers which start them.
//!
//! A worker that crashes tells neither the end of a run nor which of its runs was the cause. So a note is made against each
//! task of which it had just begun a run. Such a task, a suspect, is started where no other suspect is: this tells the cause
//! of a crash from its neighbours, which are stable elsewhere and lose their notes. A task with [`CRASHES_MOST`] notes is
//! given up, and its job fails.
//!
//! The notes are stored with the job's progress, so that the next owner goes on from them.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::loss::Loss;
use crate::pool::Pool;
use crate::state::State;
use crate::task::{Ms, Run, Task, TaskKey, WorkerId};

/// A run is put down as the cause of a crash only if the worker was not heard of for longer than this after the order.
const CRASH_WINDOW: Ms = 2_000;
/// A task that has run for this long is stable: all notes against it are dropped.
pub(crate) const STABLE_AFTER: Ms = 10_000;
/// A task that has crashed this many workers starts alone: nothing else is started there until it has outlived
/// [`CRASH_WINDOW`].
pub(crate) const CRASHES_ALONE: usize = 2;
/// A task with this many notes is given up, if at least [`CRASHES_SURE`] of them are sure.
const CRASHES_MOST: usize = 3;
/// Least number of sure notes among them.
const CRASHES_SURE: usize = 2;

/// Workers that a suspect may yet crash, with the most crashes of any such suspect.
pub(crate) type Trials = FxHashMap<WorkerId, usize>;

/// A run that may have crashed its worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    /// The run.
    pub run: u32,
    /// The worker surely lived when it was ordered. Otherwise the order may have met a worker that was gone already.
    pub sure: bool,
}

/// What is held against a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspicion {
    /// How many workers it may have crashed.
    pub crashes: usize,
    /// When the last of them was found to be lost.
    pub since: Ms,
}

/// A task that was given up because its runs crashed their workers.
#[derive(Clone, Debug)]
pub struct GivenUp {
    /// The task.
    pub task: TaskKey,
    /// Numbers of its runs that crashed their workers, or may have.
    pub crashed: Vec<u32>,
}

impl Run {
    /// Whether it may yet be the cause of a crash of its worker, as far as the worker was heard of.
    const fn is_on_trial(&self, last_hold: Ms) -> bool {
        last_hold.saturating_sub(self.ordered) < CRASH_WINDOW
    }
}

impl Task {
    /// Takes up the stored notes of a former owner.
    pub(crate) fn restore_crashes(&mut self, runs: &[u32]) {
        self.crashed = runs.iter().map(|&run| Crash { run, sure: true }).collect();
        self.crashes_stored = runs.len();
        self.top = self.top.max(runs.iter().max().copied().unwrap_or(0));
    }

    /// How many workers it has crashed, its present run and one that is only announced left aside.
    pub(crate) fn crashes(&self) -> usize {
        self.past_crashes().count()
    }

    fn past_crashes(&self) -> impl Iterator<Item = &Crash> {
        let present = self.run.as_ref().map(|run| run.number);
        self.crashed
            .iter()
            .filter(move |it| Some(it.run) != present && Some(it.run) != self.announced)
    }

    /// Whether it has crashed so many workers that it isn't started again.
    fn is_crash_loop(&self) -> bool {
        let sure = self.past_crashes().filter(|crash| crash.sure).count();
        self.crashes() >= CRASHES_MOST && sure >= CRASHES_SURE
    }

    /// The runs that are noted, as they are stored.
    pub(crate) fn crashed_runs(&self) -> Vec<u32> {
        self.crashed.iter().map(|crash| crash.run).collect()
    }

    /// What is held against it.
    pub(crate) fn suspicion(&self) -> Suspicion {
        Suspicion {
            crashes: self.crashes(),
            since: self.crashed_at,
        }
    }

    /// Drops the note against a run, since the worker lives on after it; tells whether there was one.
    pub(crate) fn clear_crash(&mut self, number: u32) -> bool {
        let before = self.crashed.len();
        self.crashed.retain(|crash| crash.run != number);
        before != self.crashed.len()
    }

    /// Drops the notes against a run that has outlived the time in which it would have crashed its worker, and against all but
    /// one before it: a worker on which tasks stand still doesn't crash either. Tells whether there were any.
    fn clear_survived(&mut self, number: u32) -> bool {
        let before = self.crashed.len();
        self.clear_crash(number);
        self.crashed.truncate(1);
        before != self.crashed.len()
    }

    /// Notes a start of a suspect as one that crashes its worker, until the worker is known to live on. So is that of a task
    /// which a former owner may have started: it may have been lost with a worker that crashed. Tells whether it is noted.
    pub(crate) fn note_trial(&mut self, number: u32, inherited: bool) -> bool {
        if let Some(announced) = self.announced.take() {
            self.clear_crash(announced);
        }
        if self.crashed.is_empty() && !inherited {
            return false;
        }
        self.crashed.push(Crash {
            run: number,
            sure: true,
        });
        true
    }

    /// Whether the next start has to be stored before it is ordered, and is not. An owner that is lost with the worker would
    /// leave one start too few to the next owner.
    pub(crate) fn awaits_storing(&self) -> bool {
        self.crashed.len() >= CRASHES_ALONE && self.crashes_stored < self.crashed.len()
    }
}

impl Pool {
    /// Notes a crash against the present run of a task whose worker was lost, if the run may be the cause.
    pub(crate) fn note_crash(&mut self, now: Ms, key: &TaskKey, loss: Loss) {
        let Some(run) = self.task_mut(key).and_then(|task| task.run.clone()) else {
            return;
        };
        let Some(worker) = self.workers.get(&run.worker) else {
            return;
        };
        let planned = worker.leaves.is_some();
        if loss == Loss::Missing || planned || !run.is_on_trial(worker.last_hold) {
            return;
        }
        let crash = Crash {
            run: run.number,
            sure: run.proven,
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.crashed_at = now;
        if let Some(run) = &mut task.run {
            run.crashed = true;
        }
        task.clear_crash(run.number);
        task.crashed.push(crash);
        self.suspects.insert(key.clone());
        self.mark_dirty(&key.stage.job);
    }

    /// A worker lists the present run of a suspect. Once the run has outlived the time in which it would have crashed the
    /// worker, the note against it is dropped, and later all notes are.
    pub(crate) fn note_survival(&mut self, now: Ms, key: &TaskKey) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let Some(run) = &task.run else { return };
        let (number, ran) = (run.number, now.saturating_sub(run.ordered));
        let changed = if ran >= STABLE_AFTER {
            !std::mem::take(&mut task.crashed).is_empty()
        } else {
            ran >= CRASH_WINDOW && task.clear_survived(number)
        };
        if changed {
            self.mark_dirty(&key.stage.job);
        }
    }

    /// Finds the suspects of a job that was taken up with its progress.
    pub(crate) fn find_suspects(&mut self, job: &str) {
        let Some(live) = self.jobs.get(job) else {
            return;
        };
        let found = live.tasks().filter(|(_, task)| !task.crashed.is_empty());
        self.suspects.extend(found.map(|(key, _)| key));
    }

    /// Decides what becomes of suspects that wait for a start: after too many crashes their jobs fail, and from the second one
    /// on the next start is announced in the store first.
    pub(crate) fn review_suspects(&mut self, now: Ms, unix: u64) {
        let suspects: Vec<TaskKey> = self.suspects.iter().cloned().collect();
        for key in suspects {
            let live = self.jobs.get(&key.stage.job);
            let open = live.is_some_and(|live| !live.state.is_final());
            let held_back = live.is_some_and(|live| {
                live.awaits > 0 || live.inherited && self.may_run_unseen(&live.job)
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
                self.abandoned.push(GivenUp { task: key, crashed });
            } else if task.crashes() >= CRASHES_ALONE
                && task.announced.is_none()
                && task.retry <= now
            {
                let next = task.top + 1;
                task.announced = Some(next);
                task.crashed.push(Crash {
                    run: next,
                    sure: true,
                });
                self.mark_dirty(&key.stage.job);
            }
        }
    }

    /// Takes the tasks that were given up since the last call.
    pub fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.abandoned)
    }

    /// Looks where suspects run that may yet crash their workers.
    pub(crate) fn find_trials(&mut self) {
        let mut trials = Trials::default();
        for key in &self.suspects {
            let task = self.stage(&key.stage);
            let Some(task) = task.and_then(|stage| stage.tasks.get(key.index as usize)) else {
                continue;
            };
            let Some(run) = &task.run else { continue };
            let last_hold = self.workers.get(&run.worker).map_or(0, |it| it.last_hold);
            if run.is_on_trial(last_hold) {
                let most = trials.entry(Arc::clone(&run.worker)).or_default();
                *most = (*most).max(task.crashes());
            }
        }
        self.suspects_by_worker = trials;
    }
}
