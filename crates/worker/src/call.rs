//! What is said between an owner and a worker.
//!
//! Moments are milliseconds since the worker began its present life, by its own clock: nothing
//! depends on clocks of different hosts agreeing.

use resource::{Size, id};
use serde::{Deserialize, Serialize};
use wire::{Body, Fate, Task, TaskId};

/// Milliseconds since the worker began its present life.
pub type Moment = u64;

/// What a worker says of itself to anyone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Its present life.
    pub incarnation: id::Incarnation,
    /// The epoch that it obeys.
    pub epoch: id::Epoch,
}

/// Takes the worker over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adopt {
    /// The new owner's epoch.
    pub epoch: id::Epoch,
    /// The life that the new owner has seen.
    pub incarnation: id::Incarnation,
}

/// What the new owner learns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adopted {
    /// What the worker has for tasks.
    pub size: Size,
    /// Quick requests that its executor runs at once.
    pub slots: u32,
    /// What else is known of it.
    pub report: Report,
}

/// A heartbeat: renews all task leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The life of the worker that it is meant for.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// How long tasks may go on without another heartbeat, in milliseconds; 0 renews nothing.
    pub lease_ms: u64,
    /// Last moment at which it renews anything. A heartbeat that is delivered late would let tasks
    /// of a deposed owner live on after the new owner has counted them as lost.
    pub not_after: Moment,
    /// Ended attempts whose end was passed on: the worker may forget them.
    pub forget: Vec<TaskId>,
}

/// State of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Its own time.
    pub clock: Moment,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Tasks that run.
    pub tasks: Vec<RunningTask>,
    /// Attempts that have ended and were not yet forgotten.
    pub ended: Vec<EndedTask>,
    /// Quick requests that run: their keys, and the moment by which each is over.
    pub runs: Vec<OccupiedKey>,
}

/// A task that runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunningTask {
    /// The attempt.
    pub task: Task,
    /// What it uses, as measured some seconds ago.
    pub usage: Size,
}

/// An attempt that has ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndedTask {
    /// The attempt.
    pub task: TaskId,
    /// Rack whose owner looks after the job.
    pub home: id::Rack,
    /// How it ended.
    pub fate: Fate,
}

/// A key that a quick request works on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OccupiedKey {
    /// Service and key.
    pub key: String,
    /// The worker ends the run at this moment.
    pub until: Moment,
}

/// Runs one quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The life of the worker that it is meant for.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Last moment at which it may start.
    pub not_after: Moment,
    /// Longest time that it may run, in milliseconds; the worker ends it then.
    pub run_ms: u64,
    /// Team and id of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// The service.
    pub service: id::Service,
    /// Service and key.
    pub key: String,
    /// What is asked.
    pub body: Body,
}

/// The answer to a quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunResult {
    /// Team and id of the request.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// The answer, or why the run failed.
    pub result: Result<Body, String>,
}

/// Makes sure that an attempt at a quick request does not run (any more).
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

/// What had become of a voided attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Voided {
    /// It had not started, and never will.
    Never,
    /// It ran to its end; this is its answer.
    Ended(RunResult),
    /// It ran, and was stopped half-way.
    Stopped,
}

/// Starts a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The life of the worker that it is meant for.
    #[serde(rename = "life")]
    pub incarnation: id::Incarnation,
    /// Last moment at which it may start.
    pub not_after: Moment,
    /// How long it may go on without a heartbeat, in milliseconds.
    pub lease_ms: u64,
    /// The attempt.
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
    /// Whether to save its work first.
    pub checkpoint: bool,
}

/// What had become of a stopped task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stopped {
    /// Work saved, in milliseconds.
    pub saved_ms: u64,
}

/// Slows a task down.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// The owner's epoch.
    pub epoch: id::Epoch,
    /// The attempt.
    pub task: TaskId,
    /// What it may use from now on.
    pub size: Size,
}
