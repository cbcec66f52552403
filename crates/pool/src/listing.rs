//! What a worker says about its runs.

use crate::task::{Ms, TaskKey};

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum How {
    /// Well.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

impl How {
    /// A short name, as logs and metrics have it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that is there.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// Newest checkpoint; empty if none.
    pub saved: String,
    /// Progress in percent.
    pub percent: u32,
    /// Response time in milliseconds of a task that serves, or millicores in use of any other.
    pub load: u32,
}

/// A run that ended.
#[derive(Clone, Debug)]
pub struct End {
    /// Counts the ends of the worker's present life.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Newest checkpoint; empty if none.
    pub saved: String,
}

/// A worker's answer to a hold.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The worker's clock.
    pub clock: Ms,
    /// Start of the worker's life in Unix milliseconds; 0 if it doesn't say.
    pub born: u64,
    /// The lease that was asked for, on the worker's clock; 0 for none.
    pub lease: Ms,
    /// When it was asked, on our clock.
    pub asked: Ms,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and was not forgotten.
    pub ended: Vec<End>,
}
