//! Messages between a rack owner and a worker.
//!
//! Moments are milliseconds since the worker's current incarnation began, by the worker's clock, so
//! nothing depends on the clocks of different hosts agreeing.

use resource::{Size, id};
use serde::{Deserialize, Serialize};
use wire::{AttemptState, Body, Task, TaskId};

/// Milliseconds since the worker's current incarnation began.
pub type Moment = u64;

/// What a worker reports about itself to anyone who asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Its current incarnation.
    pub incarnation: id::Incarnation,
    /// The epoch that it obeys.
    pub epoch: id::Epoch,
}

/// Asks a worker to obey a new epoch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adopt {
    /// The new owner's epoch.
    pub epoch: id::Epoch,
    /// The incarnation that the new owner has seen.
    pub incarnation: id::Incarnation,
}

/// Reply to [`Adopt`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adopted {
    /// The worker's capacity for tasks.
    pub size: Size,
    /// Number of quick requests that its executor runs at once.
    pub slots: u32,
    /// State of the worker.
    pub report: Report,
}

/// A heartbeat, which renews all task leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The incarnation of the worker for which it is intended.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// How long tasks may run without another heartbeat, in milliseconds; 0 renews nothing.
    pub lease_ms: u64,
    /// Latest moment at which it renews anything. Otherwise a heartbeat that is delivered late
    /// could keep tasks of a deposed owner running after the new owner has counted them as lost.
    pub not_after: Moment,
    /// Ended attempts whose end has been recorded: the worker may forget them.
    pub forget: Vec<TaskId>,
}

/// State of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Current time by its clock.
    pub clock: Moment,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Running tasks.
    pub tasks: Vec<RunningTask>,
    /// Attempts that have ended and have not been forgotten yet.
    pub ended: Vec<EndedTask>,
    /// Keys of running quick requests, with the moment by which each run ends.
    pub runs: Vec<OccupiedKey>,
}

/// A running task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    /// The task, with its attempt.
    pub task: Task,
    /// Its resource usage, as measured some seconds ago.
    pub usage: Size,
}

/// An attempt that has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndedTask {
    /// The attempt.
    pub task: TaskId,
    /// Home rack of the job; its owner schedules the job.
    pub home: id::Rack,
    /// How it ended.
    #[serde(rename = "fate")]
    pub state: AttemptState,
}

/// A key that a quick request is using.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OccupiedKey {
    /// Service and key.
    pub key: String,
    /// Moment at which the worker ends the run.
    pub until: Moment,
}

/// Runs one quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The incarnation of the worker for which it is intended.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Latest moment at which it may start.
    pub not_after: Moment,
    /// Maximum run time in milliseconds, after which the worker ends the run.
    pub run_ms: u64,
    /// Team and id of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// The service.
    pub service: id::Service,
    /// Service and key.
    pub key: String,
    /// Body of the request.
    pub body: Body,
}

/// Result of a quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// Team and id of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// The response body, or why the run failed.
    pub result: Result<Body, String>,
}

/// Ensures that an attempt at a quick request does not run, or no longer runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Void {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// Team and id of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// State in which a voided attempt was found.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Voided {
    /// It had not started, and never will.
    Never,
    /// It had ended, with this result.
    Ended(RunResult),
    /// It was running, and was stopped before it ended.
    Stopped,
}

/// Starts a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The incarnation of the worker for which it is intended.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Latest moment at which it may start.
    pub not_after: Moment,
    /// How long it may run without a heartbeat, in milliseconds.
    pub lease_ms: u64,
    /// The task, with its attempt.
    pub task: Task,
}

/// Stops a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The attempt.
    pub task: TaskId,
    /// Whether to checkpoint it first.
    pub checkpoint: bool,
}

/// Result of stopping a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stopped {
    /// Work saved by the checkpoint, in milliseconds.
    pub saved_ms: u64,
}

/// Throttles a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The attempt.
    pub task: TaskId,
    /// Resources that it may use from now on.
    pub size: Size,
}
