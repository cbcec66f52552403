//! Keys of tasks and the state of a single task.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::report::RunOutcome;

/// Job id, chosen by the caller.
pub type JobId = Arc<str>;
/// Worker id.
pub type WorkerId = Arc<str>;
/// Milliseconds since the start of the process, on a clock that keeps running while the machine is suspended.
pub type Ms = u64;

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StageKey {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
}

impl StageKey {
    /// Key of the task with this index in the step.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey {
            stage: self.clone(),
            index,
        }
    }
}

/// Identifies one task of a step.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The step it belongs to.
    pub stage: StageKey,
    /// Index of the task within the step.
    pub index: u32,
}

/// Execution state of a run as known to the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The start command was sent and is not answered yet.
    Starting,
    /// No answer has arrived in time: the task may be running, or may still start until the command expires.
    Unconfirmed,
    /// The worker has confirmed that the run is in progress.
    Running,
    /// A stop command was sent; the capacity stays reserved until the worker reports the end of the run.
    Stopping,
}

/// One attempt to run a task.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Number of the run; increases with each start of the task.
    pub number: u32,
    /// Worker that the start command was sent to.
    pub worker: WorkerId,
    /// Incarnation of the worker that carries the run out, and until it reports the run, the one that the start command is meant for; 0 if
    /// this owner hasn't sent one.
    pub incarnation: u64,
    /// Execution state.
    pub phase: Phase,
    /// When the start command was first sent.
    pub requested_at: Ms,
    /// When the worker first confirmed the run: it answered the start command, or reported the run. `None` if it has not.
    pub confirmed_at: Option<Ms>,
    /// Last moment at which the worker may still carry out the start command, on the worker's clock.
    pub start_deadline: Ms,
    /// How often the start command was sent.
    pub times_sent: u32,
    /// When the start command was last sent.
    pub last_sent: Ms,
    /// When a stop command was last sent.
    pub stop_sent: Ms,
    /// The worker's clock when it confirmed a stop; 0 if it has not.
    pub stop_confirmed: Ms,
    /// Progress in percent as last reported.
    pub percent: u32,
    /// When the percentage last changed.
    pub progressed_at: Ms,
    /// Response time in milliseconds for a latency-sensitive task; millicores in use for any other.
    pub load: u32,
    /// Share of full speed at which the run is paced, in percent.
    pub pace: u32,
    /// Whether the run is known only from the roster of the former owner.
    pub inherited: bool,
    /// Whether the worker was known to be running when it received the start command: it answered, it reported the run, or its
    /// connection was lost only after the command was sent.
    pub worker_was_up: bool,
    /// Whether the worker's incarnation had been up for [`crate::crash::STEADY_AFTER`] when the start command was sent; `false` if
    /// that isn't known.
    pub worker_was_steady: bool,
    /// Whether the worker was suspected of failing what it starts when the start command was sent, and the run hasn't shown yet
    /// that it doesn't.
    pub is_test: bool,
    /// Whether the worker was lost and this run may be the cause.
    pub may_have_crashed_worker: bool,
    /// Whether the worker has restarted since the start command was sent, and it isn't known yet which incarnation carried the
    /// command out.
    pub may_be_of_former_incarnation: bool,
}

impl Run {
    /// A run whose start command is sent at `now`.
    pub(crate) fn new(number: u32, worker: WorkerId, now: Ms, start_deadline: Ms) -> Self {
        Self {
            number,
            worker,
            incarnation: 0,
            phase: Phase::Starting,
            requested_at: now,
            confirmed_at: None,
            start_deadline,
            times_sent: 1,
            last_sent: now,
            stop_sent: 0,
            stop_confirmed: 0,
            percent: 0,
            progressed_at: now,
            load: 0,
            pace: 100,
            inherited: false,
            worker_was_up: false,
            worker_was_steady: false,
            is_test: false,
            may_have_crashed_worker: false,
            may_be_of_former_incarnation: false,
        }
    }
}

/// State of one task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Whether a run has completed successfully.
    pub done: bool,
    /// Numbers of the failed runs.
    pub failed: Vec<u32>,
    /// Runs that may have crashed their workers since the task was last stable. The current run of a suspect task is included
    /// until its worker is known to have survived it.
    pub crashed: Vec<Crash>,
    /// When the latest crash was recorded.
    pub crashed_at: Ms,
    /// Number of runs that were stopped because they stalled.
    pub stalls: u32,
    /// Number of entries of `crashed` that are stored.
    pub crashes_stored: usize,
    /// Number of the next run, if it was added to `crashed` before its start command is sent.
    pub announced: Option<u32>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The current run.
    pub run: Option<Run>,
    /// Earliest time of the next start.
    pub retry_at: Ms,
    /// Highest run number that was used or seen.
    pub highest_run: u32,
}

impl Task {
    /// Whether the task can be started at `now`.
    pub(crate) fn is_startable(&self, now: Ms) -> bool {
        !self.done && self.run.is_none() && self.retry_at <= now && !self.awaits_storing()
    }

    /// Records the end of a run; returns whether progress must be stored.
    pub(crate) fn record_end(
        &mut self,
        number: u32,
        outcome: RunOutcome,
        checkpoint: &str,
    ) -> bool {
        self.highest_run = self.highest_run.max(number);
        if !checkpoint.is_empty() && !self.done {
            self.checkpoint = checkpoint.to_owned();
        }
        let cleared = self.clear_crash(number);
        let store = match outcome {
            RunOutcome::Done => !std::mem::replace(&mut self.done, true),
            RunOutcome::Failed if !self.failed.contains(&number) => {
                self.failed.push(number);
                true
            }
            RunOutcome::Failed => false,
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                !checkpoint.is_empty()
            }
        };
        store || cleared
    }
}
