//! When a step went through its course.

use crate::state::State;
use crate::task::{JobId, Ms, StageKey};

/// When a step was asked about and started, on the owner's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timeline {
    /// The advisor was asked first.
    pub asked: Option<Ms>,
    /// The advisor answered first.
    pub advised: Option<Ms>,
    /// The first task was ordered first.
    pub first_start: Option<Ms>,
    /// A task was ordered last.
    pub last_start: Option<Ms>,
    /// How often the advisor was asked.
    pub questions: u32,
    /// How many orders to start were given.
    pub starts: u32,
}

/// The course of a step of which all tasks are done. Times count from when its turn had come.
#[derive(Clone, Debug)]
pub struct StepTimes {
    /// The step.
    pub stage: StageKey,
    /// Its queue.
    pub queue: String,
    /// How many tasks it has.
    pub tasks: usize,
    /// Estimated duration of a task.
    pub estimate: Ms,
    /// Age of the job when the step's turn had come, in milliseconds.
    pub age: Ms,
    /// Time until the advisor was asked first.
    pub asked: Option<Ms>,
    /// Time until the advisor answered first.
    pub advised: Option<Ms>,
    /// Time until the first order to start.
    pub first_start: Option<Ms>,
    /// Time until the last order to start.
    pub last_start: Option<Ms>,
    /// Time until the last end was known.
    pub done: Ms,
    /// How often the advisor was asked.
    pub questions: u32,
    /// How many orders to start were given.
    pub starts: u32,
}

/// The course of a job whose final state is stored.
#[derive(Clone, Debug)]
pub struct JobTimes {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: String,
    /// Its final state.
    pub state: State,
    /// Time from when it was accepted until it was final, in milliseconds.
    pub took: Ms,
    /// Its objective, as far as it can be reckoned here, in milliseconds.
    pub objective: Ms,
    /// When it was final, in Unix milliseconds.
    pub closed: u64,
}

impl Timeline {
    pub(crate) fn asked(&mut self, now: Ms) {
        self.asked.get_or_insert(now);
        self.questions += 1;
    }

    pub(crate) fn advised(&mut self, now: Ms) {
        self.advised.get_or_insert(now);
    }

    pub(crate) fn started(&mut self, now: Ms) {
        self.first_start.get_or_insert(now);
        self.last_start = Some(now);
        self.starts += 1;
    }
}
