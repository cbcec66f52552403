//! Times at which steps and jobs progressed, for the log.

use crate::state::State;
use crate::task::{JobId, Ms, StageKey};

/// When the advisor was queried about a step and when its tasks were started, on this process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timeline {
    /// When the advisor was first queried.
    pub first_query: Option<Ms>,
    /// When the advisor first answered.
    pub first_answer: Option<Ms>,
    /// When the first start command was issued.
    pub first_start: Option<Ms>,
    /// When the latest start command was issued.
    pub last_start: Option<Ms>,
    /// Number of advisor queries.
    pub queries: u32,
    /// Number of start commands.
    pub starts: u32,
}

/// Summary of a completed step. All times are in milliseconds since the step opened, unless stated otherwise.
#[derive(Clone, Debug)]
pub struct StepTimes {
    /// The step.
    pub stage: StageKey,
    /// Queue of the job.
    pub queue: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Estimated duration of one task.
    pub estimate: Ms,
    /// Age of the job when the step opened.
    pub age: Ms,
    /// Time of the first advisor query.
    pub first_query: Option<Ms>,
    /// Time of the first answer of the advisor.
    pub first_answer: Option<Ms>,
    /// Time of the first start command.
    pub first_start: Option<Ms>,
    /// Time of the latest start command.
    pub last_start: Option<Ms>,
    /// Time at which the last end was reported.
    pub done: Ms,
    /// Number of advisor queries.
    pub queries: u32,
    /// Number of start commands.
    pub starts: u32,
}

/// Summary of a job whose final state is stored.
#[derive(Clone, Debug)]
pub struct JobTimes {
    /// Id of the job.
    pub job: JobId,
    /// Queue of the job.
    pub queue: String,
    /// The final state.
    pub state: State,
    /// Time from acceptance to the final state, in milliseconds.
    pub took: Ms,
    /// The job's objective as computed by this owner, in milliseconds.
    pub objective: Ms,
    /// When the state became final, in Unix milliseconds.
    pub closed: u64,
}

impl Timeline {
    pub(crate) fn record_query(&mut self, now: Ms) {
        self.first_query.get_or_insert(now);
        self.queries += 1;
    }

    pub(crate) fn record_answer(&mut self, now: Ms) {
        self.first_answer.get_or_insert(now);
    }

    pub(crate) fn record_start(&mut self, now: Ms) {
        self.first_start.get_or_insert(now);
        self.last_start = Some(now);
        self.starts += 1;
    }
}
