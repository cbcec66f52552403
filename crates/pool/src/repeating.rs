//! Jobs that run several times: how many of their occurrences are in progress and how many are due, for the log and the metrics.

use crate::live::LiveJob;
use crate::pool::Pool;
use crate::task::JobId;

/// The occurrences of jobs that run several times.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Occurrences {
    /// Number of such jobs.
    pub jobs: usize,
    /// Number of their occurrences in progress.
    pub open: usize,
    /// Number of tasks of these occurrences.
    pub tasks: usize,
    /// Number of occurrences that are due and not in progress yet.
    pub waiting: u64,
    /// The job with the most occurrences in progress.
    pub largest: Option<JobId>,
}

impl Pool {
    /// The occurrences of jobs that run several times and aren't over.
    #[must_use]
    pub fn occurrences(&self) -> Occurrences {
        let jobs = self.jobs.values();
        let repeating = jobs.filter(|live| live.job.schedule.is_some() && !live.state.is_final());
        let mut all = Occurrences::default();
        let mut most = 0;
        for live in repeating {
            all.jobs += 1;
            all.open += live.open.len();
            all.tasks += live.tasks().count();
            all.waiting += live.waiting_occurrences(self.unix);
            if live.open.len() > most {
                most = live.open.len();
                all.largest = Some(live.job.id.clone());
            }
        }
        all
    }
}

impl LiveJob {
    /// Number of occurrences that are due at this Unix time in milliseconds and not in progress yet.
    fn waiting_occurrences(&self, unix: u64) -> u64 {
        let Some(schedule) = self.job.schedule.filter(|_| !self.state.is_final()) else {
            return 0;
        };
        let Some(since_first) = unix.checked_sub(schedule.first) else {
            return 0;
        };
        let times = u64::from(schedule.times);
        let due = since_first.checked_div(schedule.every);
        let due = due.map_or(times, |periods| (periods + 1).min(times));
        due.saturating_sub(self.finished.count() + self.open.len() as u64)
    }
}
