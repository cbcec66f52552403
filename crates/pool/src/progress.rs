//! Progress of a job, as stored.

use serde::{Deserialize, Serialize};

use crate::numbers::Numbers;
use crate::state::State;
use crate::task::WorkerId;

/// Maximum number of finished occurrences that are listed one by one, as hosts of earlier versions read them.
const MAX_LISTED: u64 = 128;

/// A start of a suspect on a steady worker, whose outcome wasn't known when the progress was stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnresolvedStart {
    /// Index of the task.
    pub task: u32,
    /// Number of the run.
    pub run: u32,
    /// Worker that the start command was sent to.
    pub worker: WorkerId,
    /// Incarnation of that worker, in Unix milliseconds.
    pub incarnation: u64,
}

/// Progress of one step.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepProgress {
    /// Bitmap of completed tasks in hexadecimal: one digit for four tasks, the task with the lowest index in the lowest bit of
    /// the first digit. Empty if none has completed.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub done: String,
    /// Indices of tasks with the numbers of their failed runs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<(u32, Vec<u32>)>,
    /// Indices of tasks with the numbers of their runs that may have crashed their workers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<(u32, Vec<u32>)>,
    /// Those of these runs that aren't confirmed as crashes, including starts that were only announced. They don't count towards
    /// the confirmed ones of the next owner either.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed: Vec<(u32, Vec<u32>)>,
    /// Those of the unconfirmed runs that the next owner can still confirm or rule out, once their workers have reported.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unresolved: Vec<UnresolvedStart>,
    /// Indices of tasks with their newest checkpoints.
    #[serde(rename = "saved", skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(u32, String)>,
    /// Highest run number of any task.
    #[serde(rename = "top")]
    pub highest_run: u32,
}

impl StepProgress {
    /// Encodes the bitmap of completed tasks.
    pub(crate) fn pack(done: impl Iterator<Item = bool>) -> String {
        let marks: Vec<bool> = done.collect();
        if !marks.contains(&true) {
            return String::new();
        }
        marks
            .chunks(4)
            .map(|four| {
                let digit = four
                    .iter()
                    .enumerate()
                    .fold(0, |digit, (bit, &mark)| digit | (u32::from(mark) << bit));
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect()
    }

    /// Whether the task with this index has completed.
    #[must_use]
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .chars()
            .nth(index as usize / 4)
            .and_then(|digit| digit.to_digit(16))
            .is_some_and(|digit| digit >> (index % 4) & 1 == 1)
    }
}

/// Progress of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct OccurrenceProgress {
    /// Index of the occurrence.
    pub number: u32,
    /// Progress of each step.
    pub steps: Vec<StepProgress>,
}

impl OccurrenceProgress {
    /// Whether nothing of it has begun.
    pub(crate) fn is_empty(&self) -> bool {
        self.steps.iter().all(|step| step.highest_run == 0)
    }
}

/// Progress of a job: what the next owner needs to continue it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Progress {
    /// The state shown to callers.
    pub state: State,
    /// When the state became final, in Unix milliseconds; 0 before.
    pub closed: u64,
    /// Indices of finished occurrences. If there are more than [`MAX_LISTED`], they are in `over_ranges` instead.
    pub over: Vec<u32>,
    /// Ranges of finished occurrences, each with the index of the first and of the last one.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub over_ranges: Vec<(u32, u32)>,
    /// Occurrences in progress.
    pub open: Vec<OccurrenceProgress>,
}

impl Progress {
    /// Progress with nothing but these finished occurrences.
    pub(crate) fn of_finished(finished: &Numbers) -> Self {
        let mut progress = Self::default();
        if finished.count() <= MAX_LISTED {
            let numbers = finished.ranges().flat_map(|(first, last)| first..=last);
            progress.over = numbers.collect();
        } else {
            progress.over_ranges = finished.ranges().collect();
        }
        progress
    }

    /// The finished occurrences.
    pub(crate) fn finished(&self) -> Numbers {
        let mut finished = Numbers::default();
        for &number in &self.over {
            finished.insert(number);
        }
        for &(first, last) in &self.over_ranges {
            finished.insert_range(first, last);
        }
        finished
    }
}
