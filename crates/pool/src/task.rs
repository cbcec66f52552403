//! Names of tasks, and what is known of one task.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::crash::Crash;
use crate::listing::How;

/// A job's id, chosen by its caller.
pub type JobId = Arc<str>;
/// A worker's id.
pub type WorkerId = Arc<str>;
/// Milliseconds since the process began, on a clock that counts suspended time.
pub type Ms = u64;

/// One step of one occurrence of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StageKey {
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
}

impl StageKey {
    /// The task of this step with this number.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey {
            stage: self.clone(),
            index,
        }
    }
}

/// One task of a step.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The step it belongs to.
    pub stage: StageKey,
    /// Its number within the step, counted from 0.
    pub index: u32,
}

/// How far the order for a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Sent, not answered yet.
    Ordered,
    /// The answer is lost: it may run, or may still begin until its last moment.
    Unsure,
    /// It runs.
    Running,
    /// A stop is on its way; its room stays taken until the end is listed.
    Stopping,
}

/// One start of a task.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Counts the starts of the task; rises.
    pub number: u32,
    /// Where.
    pub worker: WorkerId,
    /// How far.
    pub phase: Phase,
    /// When it was ordered.
    pub ordered: Ms,
    /// Last moment at which the order may still be carried out, on the worker's clock.
    pub latest: Ms,
    /// How often the order was sent.
    pub copies: u32,
    /// When the order was sent last.
    pub sent: Ms,
    /// When a stop was sent last.
    pub stop_sent: Ms,
    /// The worker's clock when it confirmed a stop; 0 if it has not.
    pub stop_confirmed: Ms,
    /// Progress in percent as last listed.
    pub percent: u32,
    /// When the percentage last rose.
    pub moved: Ms,
    /// Response time in milliseconds of a task that serves, or millicores in use of any other.
    pub load: u32,
    /// The share in percent at which it is paced.
    pub pace: u32,
    /// Only the former owner's roster tells of it.
    pub inherited: bool,
    /// The worker lived when the order came to it: it answered, it lists the run, or its connection ended only then.
    pub proven: bool,
    /// Its worker was lost, and it may be the cause.
    pub crashed: bool,
}

impl Run {
    /// A run that was just ordered.
    pub(crate) fn new(number: u32, worker: WorkerId, now: Ms, latest: Ms) -> Self {
        Self {
            number,
            worker,
            phase: Phase::Ordered,
            ordered: now,
            latest,
            copies: 1,
            sent: now,
            stop_sent: 0,
            stop_confirmed: 0,
            percent: 0,
            moved: now,
            load: 0,
            pace: 100,
            inherited: false,
            proven: false,
            crashed: false,
        }
    }
}

/// What is known of one task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// It has ended well.
    pub done: bool,
    /// Numbers of the runs that failed.
    pub failed: Vec<u32>,
    /// Numbers of the runs that may have crashed their workers since it was stable last. The present run of a suspect is among
    /// them until its worker is known to live on.
    pub crashed: Vec<Crash>,
    /// When the last of them was noted.
    pub crashed_at: Ms,
    /// How many of them are stored.
    pub crashes_stored: usize,
    /// The next run, if it is noted there before it is ordered.
    pub announced: Option<u32>,
    /// Newest checkpoint; empty if none.
    pub saved: String,
    /// Its present run.
    pub run: Option<Run>,
    /// It is not started again before this.
    pub retry: Ms,
    /// Highest run number that was used or seen.
    pub top: u32,
}

impl Task {
    /// Whether it waits for a start at this moment.
    pub(crate) fn waits(&self, now: Ms) -> bool {
        !self.done && self.run.is_none() && self.retry <= now && !self.awaits_storing()
    }

    /// Notes that a run ended; `true` if that changes what must be stored.
    pub(crate) fn note_end(&mut self, number: u32, how: How, saved: &str) -> bool {
        self.top = self.top.max(number);
        if !saved.is_empty() && !self.done {
            self.saved = saved.to_owned();
        }
        let cleared = self.clear_crash(number);
        let store = match how {
            How::Done => !std::mem::replace(&mut self.done, true),
            How::Failed if !self.failed.contains(&number) => {
                self.failed.push(number);
                true
            }
            How::Failed => false,
            How::Stopped | How::Lapsed | How::Broken | How::Alone => !saved.is_empty(),
        };
        store || cleared
    }
}
