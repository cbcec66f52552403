//! Commands that the pool gives to workers, and queries to the advisor.

use std::sync::Arc;

use crate::job::Job;
use crate::task::{Ms, StageKey, TaskKey, WorkerId};

/// Starts a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The worker to start it on.
    pub worker: WorkerId,
    /// Incarnation of the worker that the command is meant for, in Unix milliseconds; its clock counts for the deadline.
    pub incarnation: u64,
    /// The job, for its payload.
    pub job: Arc<Job>,
    /// Time after which the run must not begin, on the worker's clock.
    pub start_deadline: Ms,
    /// The checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// The advisor's ticket; empty if none is needed.
    pub ticket: String,
    /// Number of workers that the task may have crashed.
    pub crashes: usize,
}

/// Stops a run.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The worker it is on.
    pub worker: WorkerId,
    /// Incarnation of the worker that is known when the command is made, in Unix milliseconds; its clock counts for the answer.
    pub incarnation: u64,
    /// The reason, for the log.
    pub reason: &'static str,
}

/// Sets the pace of a run.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The worker it is on.
    pub worker: WorkerId,
    /// Share of its full speed, in percent.
    pub percent: u32,
}

/// Asks the advisor on which workers a step may run.
#[derive(Clone, Debug)]
pub struct AdvisorQuery {
    /// The step.
    pub stage: StageKey,
    /// The workers that the query names.
    pub workers: Vec<WorkerId>,
    /// Expected duration of the query, in milliseconds.
    pub expected_duration: Ms,
}

/// A command to a worker, or a query to the advisor.
#[derive(Clone, Debug)]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Stops a run.
    Stop(Stop),
    /// Slows a run down, pauses it, or speeds it up again.
    Pace(Pace),
    /// Queries the advisor.
    Query(AdvisorQuery),
}
