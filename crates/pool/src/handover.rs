//! Crash records that the store doesn't have yet, for the next owner.
//!
//! All else that an owner hasn't stored is found out again by the next one: workers report their runs, and repeat the ends that aren't
//! stored. A crash leaves no such witness. An owner that can't write to the store requests that another host take over the pool, and
//! its crash records go with that request.

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::live::LiveJob;
use crate::pool::Pool;
use crate::progress::UnresolvedStart;
use crate::task::{Ms, Task, TaskKey};

/// The crash records of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashHistory {
    /// The task.
    pub task: TaskKey,
    /// Numbers of the runs that may have crashed their workers.
    pub runs: Vec<u32>,
    /// Those of them that aren't confirmed as crashes.
    pub unconfirmed: Vec<u32>,
    /// Those of the unconfirmed ones that the next owner can still confirm or rule out.
    pub unresolved: Vec<UnresolvedStart>,
    /// Highest run number of the task.
    pub highest_run: u32,
}

impl CrashHistory {
    fn new(key: &TaskKey, task: &Task) -> Self {
        // The command of an announced start is sent only after its record is stored.
        let made = |run: &u32| Some(*run) != task.announced;
        Self {
            task: key.clone(),
            runs: task.crashed_runs().into_iter().filter(made).collect(),
            unconfirmed: task
                .unconfirmed_crashes()
                .into_iter()
                .filter(made)
                .collect(),
            unresolved: task.unresolved_starts(key.index).collect(),
            highest_run: task.highest_run,
        }
    }
}

impl Task {
    /// Adds the former owner's records to those that were read from the store. Where both have a run, the former owner's
    /// record is the later one.
    fn merge_crashes(&mut self, history: &CrashHistory) {
        self.highest_run = self.highest_run.max(history.highest_run);
        self.crashed.retain(|it| !history.runs.contains(&it.run));
        let confirmed = |run: u32| !history.unconfirmed.contains(&run);
        let records = history
            .runs
            .iter()
            .map(|&run| Crash::new(run, confirmed(run)));
        self.crashed.extend(records);
        self.crashed.sort_by_key(|it| it.run);
        for start in &history.unresolved {
            self.restore_start(start);
        }
    }
}

impl Pool {
    /// The crash histories of tasks with records that aren't stored, those with the most records first, at most `limit`. A job that is
    /// over counts until that is stored: the next owner starts it again.
    #[must_use]
    pub fn unstored_crashes(&self, limit: usize) -> Vec<CrashHistory> {
        let jobs = self.jobs.values();
        let jobs = jobs.filter(|live| !live.stored_state.is_final());
        let tasks = jobs.flat_map(LiveJob::tasks);
        let unstored = tasks.filter(|(_, task)| !task.done && task.unstored_crashes() > 0);
        let histories = unstored.map(|(key, task)| CrashHistory::new(&key, task));
        let mut histories: Vec<CrashHistory> = histories.filter(|it| !it.runs.is_empty()).collect();
        histories.sort_by(|a, b| (b.runs.len(), &a.task).cmp(&(a.runs.len(), &b.task)));
        histories.truncate(limit);
        histories
    }

    /// Sets the crash histories that the former owner has handed over. They apply to jobs that are added later.
    pub fn set_former_crashes(&mut self, histories: Vec<CrashHistory>) {
        for history in histories {
            let of_job = self.former_crashes.entry(history.task.stage.job.clone());
            of_job.or_default().push(history);
        }
    }

    /// Applies what the former owner has handed over about the tasks of a job.
    pub(crate) fn apply_former_crashes(&mut self, now: Ms, job: &str) {
        for history in self.former_crashes.remove(job).unwrap_or_default() {
            self.begin_named_occurrence(now, &history.task.stage);
            if let Some(task) = self.task_mut(&history.task)
                && !task.done
            {
                task.merge_crashes(&history);
                self.mark_dirty(&history.task.stage.job);
            }
        }
    }
}
