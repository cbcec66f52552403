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

/// Limits on the occurrences that are in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    /// Limit of each job.
    share: Room,
    /// How much more may begin in the pool.
    left: Room,
}

/// A number of occurrences, and of tasks that they have together.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    occurrences: usize,
    tasks: usize,
}

impl Room {
    /// Number of occurrences with this many tasks each.
    fn occurrences_of(self, tasks: usize) -> usize {
        (self.tasks / tasks.max(1)).min(self.occurrences)
    }
}

impl Window {
    /// The limits for this many jobs, which have `used` in progress.
    fn new(jobs: usize, used: Room) -> Self {
        let share = |all: usize, most: usize| (all / jobs.max(1)).min(most);
        Self {
            share: Room {
                occurrences: share(MAX_OPEN_OCCURRENCES_IN_POOL, MAX_OPEN_OCCURRENCES),
                tasks: share(MAX_OPEN_TASKS_IN_POOL, MAX_OPEN_TASKS),
            },
            left: Room {
                occurrences: MAX_OPEN_OCCURRENCES_IN_POOL.saturating_sub(used.occurrences),
                tasks: MAX_OPEN_TASKS_IN_POOL.saturating_sub(used.tasks),
            },
        }
    }

    /// How many occurrences with this many tasks each a job may have in progress, if it has `open` now; at least one.
    pub(crate) fn limit(&self, open: usize, tasks: usize) -> usize {
        let in_pool = open + self.left.occurrences_of(tasks);
        self.share.occurrences_of(tasks).min(in_pool).max(1)
    }

    /// Counts occurrences with this many tasks each that have begun.
    pub(crate) fn take(&mut self, occurrences: usize, tasks: usize) {
        let left = &mut self.left;
        left.occurrences = left.occurrences.saturating_sub(occurrences);
        left.tasks = left.tasks.saturating_sub(occurrences * tasks);
    }

    /// Counts an occurrence with this many tasks that has ended.
    pub(crate) fn give_back(&mut self, tasks: usize) {
        self.left.occurrences += 1;
        self.left.tasks += tasks;
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
        self.window = self.measure_window(unix);
        for id in due {
            self.advance(&id, now, unix);
        }
    }

    /// The limits for the repeating jobs that have occurrences in progress or waiting.
    fn measure_window(&self, unix: u64) -> Window {
        let (mut jobs, mut used) = (0, Room::default());
        let repeating = self.jobs.values();
        let repeating = repeating.filter(|live| live.job.schedule.is_some());
        for live in repeating.filter(|live| !live.open.is_empty() || live.is_due(unix)) {
            jobs += 1;
            used.occurrences += live.open.len();
            used.tasks += live.open.len() * live.tasks_per_occurrence();
        }
        Window::new(jobs, used)
    }

    /// Begins an occurrence of which a run, an end or a crash record has become known. A former owner has begun it, although the progress that
    /// it stored doesn't tell so; without this, the run would be stopped and the end ignored.
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
