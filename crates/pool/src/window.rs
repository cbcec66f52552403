//! How many occurrences of a job are in progress at the same time.
//!
//! A job may name any number of times, and all of them may be due. Each occurrence in progress takes memory, space in the job's row and
//! time in each scheduling pass. So the occurrences of a job begin in order, as far as its window allows; when one ends, the next one begins.

use crate::live::LiveJob;
use crate::pool::Pool;
use crate::task::{JobId, Ms, StageKey};

/// Maximum number of occurrences of a job that are in progress.
pub const MAX_OPEN_OCCURRENCES: usize = 1_024;
/// Maximum number of tasks of these occurrences, unless a single occurrence has more.
const MAX_OPEN_TASKS: usize = 10_000;
/// The jobs of a pool whose occurrences wait share this many.
const MAX_OPEN_OCCURRENCES_IN_POOL: usize = 4_096;
/// The jobs of a pool whose occurrences wait share this many tasks.
const MAX_OPEN_TASKS_IN_POOL: usize = 40_000;

/// Limit on the occurrences of one job that are in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    occurrences: usize,
    tasks: usize,
}

impl Window {
    /// The share of each of this many jobs.
    pub(crate) fn shared_by(jobs: usize) -> Self {
        let share = |all: usize| all / jobs.max(1);
        Self {
            occurrences: share(MAX_OPEN_OCCURRENCES_IN_POOL).min(MAX_OPEN_OCCURRENCES),
            tasks: share(MAX_OPEN_TASKS_IN_POOL).min(MAX_OPEN_TASKS),
        }
    }

    /// Number of occurrences with this many tasks each, at least one.
    pub(crate) fn occurrences_of(self, tasks: usize) -> usize {
        let fitting = self.tasks / tasks.max(1);
        fitting.min(self.occurrences).max(1)
    }
}

impl Default for Window {
    /// One occurrence at a time.
    fn default() -> Self {
        Self::shared_by(usize::MAX)
    }
}

impl Pool {
    /// Begins the occurrences that have become due, or that have waited for their jobs' windows.
    pub(crate) fn begin_occurrences(&mut self, now: Ms, unix: u64) {
        let is_due = |id: &&JobId| self.jobs.get(*id).is_some_and(|live| live.is_due(unix));
        let due: Vec<JobId> = self.scheduled_jobs.iter().filter(is_due).cloned().collect();
        if due.is_empty() {
            return;
        }
        let repeating = self
            .jobs
            .values()
            .filter(|live| live.job.schedule.is_some());
        let active = repeating.filter(|live| !live.open.is_empty() || live.is_due(unix));
        self.window = Window::shared_by(active.count());
        for id in due {
            self.advance(&id, now, unix);
        }
    }

    /// Begins an occurrence that workers, or the former owner, name. The former owner may have begun it although this one wouldn't yet: the
    /// stored progress is older than what workers report.
    pub(crate) fn begin_named_occurrence(&mut self, now: Ms, key: &StageKey) {
        let Some(live) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if !live.may_begin(key.occurrence) {
            return;
        }
        let opened = live.begin(key.occurrence, now);
        self.open_steps.extend(opened);
    }
}

impl LiveJob {
    /// Whether an occurrence is due and hasn't begun, though the window may be full.
    fn is_due(&self, unix: u64) -> bool {
        self.next_due().is_some_and(|due| due <= unix)
    }

    /// Whether the job has this occurrence and it hasn't begun.
    fn may_begin(&self, number: u32) -> bool {
        let begun = self.open.contains_key(&number) || self.finished.contains(number);
        !self.state.is_final() && number < self.occurrence_count() && !begun
    }
}
