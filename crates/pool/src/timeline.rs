//! Times at which steps and jobs progressed, for the log.

use crate::customer::CustomerId;
use crate::state::State;
use crate::task::{JobId, Ms, StageKey};

/// What the tasks of a step wait for that can't be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// No eligible worker has enough free capacity.
    Capacity,
    /// The customer's limit.
    Quota,
    /// No free capacity, while the customer has sent more jobs a second than it is owed.
    Share,
    /// The advisor's answer.
    Advice,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [Self; 4] = [Self::Capacity, Self::Quota, Self::Share, Self::Advice];

    /// Short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Capacity => "capacity",
            Self::Quota => "quota",
            Self::Share => "share",
            Self::Advice => "advice",
        }
    }
}

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
    /// What tasks have been waiting for, and since when.
    waiting: Option<(WaitReason, Ms)>,
    /// Time for which tasks have waited, by reason; without the present wait.
    waited: [Ms; WaitReason::ALL.len()],
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
    /// Customer of the job; empty for none.
    pub customer: CustomerId,
    /// Whether the customer was owed the job.
    pub owed: bool,
    /// Time for which tasks waited, by reason, in the order of [`WaitReason::ALL`].
    pub waited: [Ms; WaitReason::ALL.len()],
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

    /// Records what tasks are waiting for.
    pub(crate) fn record_wait(&mut self, now: Ms, reason: WaitReason) {
        if self.waiting.is_some_and(|(present, _)| present == reason) {
            return;
        }
        self.end_wait(now);
        self.waiting = Some((reason, now));
    }

    /// Records that no task waits any more.
    pub(crate) fn end_wait(&mut self, now: Ms) {
        if let Some((reason, since)) = self.waiting.take() {
            self.waited[reason as usize] += now.saturating_sub(since);
        }
    }

    /// What tasks are waiting for.
    pub(crate) fn waiting_for(&self) -> Option<WaitReason> {
        self.waiting.map(|(reason, _)| reason)
    }

    /// Time for which tasks have waited, by reason.
    pub(crate) fn waited(&self, now: Ms) -> [Ms; WaitReason::ALL.len()] {
        let mut waited = self.waited;
        if let Some((reason, since)) = self.waiting {
            waited[reason as usize] += now.saturating_sub(since);
        }
        waited
    }
}
