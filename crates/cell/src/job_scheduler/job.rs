//! One job and its tasks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use resource::{Size, id};
use serde::{Deserialize, Serialize};
use wire::{AttemptState, Band, Gang, Job, Phase, Shape, State};

/// A job fails after this many failed attempts per task, counted over all its tasks together.
const MAX_FAILURES_PER_TASK: u32 = 8;
/// A job fails once one of its tasks may have crashed this many workers in a row.
const MAX_CRASHES: u32 = 3;

/// Durable state of a job: its row in the platform's table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SavedJob {
    /// The job.
    pub job: Job,
    /// Phase of the job.
    pub phase: Phase,
    /// Indices of finished tasks, as inclusive ranges.
    pub finished: Vec<(u32, u32)>,
    /// Number of attempts that were lost, failed or preempted.
    pub restarts: u32,
    /// Index of each task that may have crashed its workers, with the number of crashes in a row.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u32, u32>,
}

impl SavedJob {
    /// Prefix of the keys of these rows.
    pub const PREFIX: &str = "job/";

    /// The row of a new job.
    #[must_use]
    pub const fn new(job: Job) -> Self {
        Self {
            job,
            phase: Phase::Queued,
            finished: Vec::new(),
            restarts: 0,
            crashes: BTreeMap::new(),
        }
    }

    /// Key of a job's row.
    #[must_use]
    pub fn key(team: &str, job: &str) -> String {
        format!("{}{team}/{job}", Self::PREFIX)
    }
}

/// State of one task of a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Unknown after a change of owner: an earlier owner may have placed it.
    Unknown,
    /// It waits for capacity; `saved_ms` is the work saved by an earlier attempt.
    Waiting { saved_ms: u64 },
    /// It was placed on a rack.
    Placed {
        rack: id::Rack,
        attempt: u64,
        band: Band,
        running: bool,
        saved_ms: u64,
    },
    /// It has finished.
    Finished,
}

/// A job with the state of its tasks.
#[derive(Debug)]
pub(super) struct TrackedJob {
    pub(super) job: Job,
    pub(super) phase: Phase,
    pub(super) tasks: Vec<TaskState>,
    /// Indices of waiting tasks; may contain tasks that no longer wait.
    pub(super) queue: VecDeque<u32>,
    pub(super) arrival: u64,
    failures: u32,
    restarts: u32,
    /// Tasks that may have crashed their workers, with the number of crashes in a row.
    crashes: BTreeMap<u32, u32>,
    /// Whether a rack has turned down a task that may have crashed its workers.
    pub(super) turned_down: bool,
    /// Attempt of a gang whose remaining members must be stopped.
    broken_attempt: Option<u64>,
}

impl TrackedJob {
    pub(super) fn new(job: Job, arrival: u64) -> Self {
        let n = job.tasks;
        Self {
            job,
            phase: Phase::Queued,
            tasks: vec![TaskState::Waiting { saved_ms: 0 }; n as usize],
            queue: (0..n).collect(),
            arrival,
            failures: 0,
            restarts: 0,
            crashes: BTreeMap::new(),
            turned_down: false,
            broken_attempt: None,
        }
    }

    pub(super) fn recovered(saved: SavedJob, arrival: u64) -> Self {
        let mut tracked = Self::new(saved.job, arrival);
        tracked.phase = saved.phase;
        tracked.restarts = saved.restarts;
        tracked.crashes = saved.crashes;
        tracked.tasks.fill(TaskState::Unknown);
        tracked.queue.clear();
        for (first, last) in saved.finished {
            for index in first..=last {
                if let Some(task) = tracked.tasks.get_mut(index as usize) {
                    *task = TaskState::Finished;
                }
            }
        }
        tracked
    }

    pub(super) fn saved(&self) -> SavedJob {
        let mut finished: Vec<(u32, u32)> = Vec::new();
        for (index, task) in (0u32..).zip(&self.tasks) {
            if *task != TaskState::Finished {
                continue;
            }
            match finished.last_mut() {
                Some((_, last)) if *last + 1 == index => *last = index,
                _ => finished.push((index, index)),
            }
        }
        let (job, phase) = (self.job.clone(), self.phase);
        SavedJob {
            job,
            phase,
            finished,
            restarts: self.restarts,
            crashes: self.crashes.clone(),
        }
    }

    pub(super) fn state(&self) -> State {
        let count =
            |wanted: fn(&TaskState) -> bool| self.tasks.iter().filter(|task| wanted(task)).count();
        let waits =
            |task: &TaskState| matches!(task, TaskState::Unknown | TaskState::Waiting { .. });
        let waiting = if self.phase.is_over() {
            0
        } else {
            count(waits) as u32
        };
        State {
            id: self.job.id.clone(),
            phase: self.phase,
            waiting,
            running: count(|task| matches!(task, TaskState::Placed { .. })) as u32,
            finished: count(|task| *task == TaskState::Finished) as u32,
            restarts: self.restarts,
        }
    }

    /// Racks that hold tasks of this job.
    pub(super) fn racks(&self) -> Vec<id::Rack> {
        let rack = |task: &TaskState| match task {
            TaskState::Placed { rack, .. } => Some(rack.clone()),
            _ => None,
        };
        let racks: BTreeSet<id::Rack> = self.tasks.iter().filter_map(rack).collect();
        racks.into_iter().collect()
    }

    /// Capacity that its placed tasks use.
    pub(super) fn used(&self) -> Size {
        let placed = self
            .tasks
            .iter()
            .filter(|task| matches!(task, TaskState::Placed { .. }))
            .count();
        self.job.size.times(placed as u64)
    }

    /// Whether any task waits and may be placed.
    pub(super) fn has_waiting_tasks(&self) -> bool {
        !self.phase.is_over() && !self.queue.is_empty()
    }

    /// Queues a task again that its rack could not place; `false` if the attempt is not the current
    /// one.
    pub(super) fn return_to_queue(&mut self, index: u32, attempt: u64, saved_ms: u64) -> bool {
        if !self.is_current_attempt(index, attempt) {
            return false;
        }
        self.requeue(index, saved_ms);
        self.turned_down |= self.crashes.contains_key(&index);
        true
    }

    pub(super) fn attempt_running(&mut self, index: u32, attempt: u64) {
        if let Some(TaskState::Placed {
            attempt: a,
            running,
            ..
        }) = self.tasks.get_mut(index as usize)
            && *a == attempt
        {
            *running = true;
        }
        if self.phase == Phase::Queued {
            self.phase = Phase::Running;
        }
    }

    /// Records that the worker has survived an attempt. A new owner may learn this before it knows
    /// which attempt is the current one.
    pub(super) fn attempt_stable(&mut self, index: u32, attempt: u64) {
        let unknown = self.tasks.get(index as usize) == Some(&TaskState::Unknown);
        if unknown || self.is_current_attempt(index, attempt) {
            self.crashes.remove(&index);
        }
    }

    /// Number of workers that a task may have crashed in a row.
    pub(super) fn crashes(&self, index: u32) -> u32 {
        self.crashes.get(&index).copied().unwrap_or(0)
    }

    /// Records that a rack holds this attempt of a task whose state was unknown; an earlier owner
    /// placed it.
    pub(super) fn attempt_found(&mut self, index: u32, attempt: u64, rack: &str) {
        let band = match self.job.shape {
            Shape::Service => Band::Standing,
            Shape::Batch | Shape::Gang => Band::Normal,
        };
        if let Some(task) = self.tasks.get_mut(index as usize)
            && *task == TaskState::Unknown
        {
            let rack = rack.to_owned();
            *task = TaskState::Placed {
                rack,
                attempt,
                band,
                running: true,
                saved_ms: 0,
            };
            if self.phase == Phase::Queued {
                self.phase = Phase::Running;
            }
        }
    }

    pub(super) fn attempt_finished(&mut self, index: u32, attempt: u64) {
        let unknown = self.tasks.get(index as usize) == Some(&TaskState::Unknown);
        if !unknown && !self.is_current_attempt(index, attempt) {
            return;
        }
        if let Some(task) = self.tasks.get_mut(index as usize) {
            *task = TaskState::Finished;
        }
        let all = self.tasks.iter().all(|task| *task == TaskState::Finished);
        if all && !self.phase.is_over() {
            self.phase = Phase::Finished;
        }
    }

    /// Records that an attempt ended before its work was done, and queues the task again.
    pub(super) fn attempt_ended(&mut self, index: u32, attempt: u64, state: AttemptState) {
        if !self.is_current_attempt(index, attempt) {
            return;
        }
        let saved_ms = match state {
            AttemptState::Preempted { saved_ms } => saved_ms,
            _ => 0,
        };
        self.restarts += 1;
        self.requeue(index, saved_ms);
        let given_up = match state {
            AttemptState::Failed => {
                self.crashes.remove(&index);
                self.failures += 1;
                self.failures >= MAX_FAILURES_PER_TASK * self.job.tasks
            }
            AttemptState::Lost => {
                let crashes = self.crashes.entry(index).or_default();
                *crashes += 1;
                *crashes >= MAX_CRASHES
            }
            _ => false,
        };
        if given_up && !self.phase.is_over() {
            self.phase = Phase::Failed;
        }
        if self.job.shape == Shape::Gang {
            self.broken_attempt = Some(attempt);
        }
    }

    /// Ends the attempts that were placed on this rack but are not held there.
    pub(super) fn end_missing_attempts(
        &mut self,
        rack: &str,
        held: &impl Fn(u32, u64, &Job) -> bool,
    ) {
        let missing = |(index, task): (u32, &TaskState)| match task {
            TaskState::Placed {
                rack: r, attempt, ..
            } if r == rack => (!held(index, *attempt, &self.job)).then_some((index, *attempt)),
            _ => None,
        };
        let missing: Vec<(u32, u64)> = (0u32..).zip(&self.tasks).filter_map(missing).collect();
        for (index, attempt) in missing {
            self.restarts += 1;
            self.requeue(index, 0);
            if self.job.shape == Shape::Gang {
                self.broken_attempt = Some(attempt);
            }
        }
    }

    /// Queues the tasks whose state is still unknown after every rack was asked: no rack holds
    /// them, so they don't run.
    pub(super) fn requeue_unknown_tasks(&mut self) {
        let unknown = (0u32..)
            .zip(&self.tasks)
            .filter(|(_, task)| **task == TaskState::Unknown);
        let unknown: Vec<u32> = unknown.map(|(index, _)| index).collect();
        for index in &unknown {
            self.requeue(*index, 0);
        }
        if self.job.shape == Shape::Gang && !unknown.is_empty() {
            let placed = self.tasks.iter().find_map(|task| match task {
                TaskState::Placed { attempt, .. } => Some(*attempt),
                _ => None,
            });
            self.broken_attempt = self.broken_attempt.or(placed);
        }
    }

    /// The attempt of a gang whose remaining members must be stopped, and the racks that hold them.
    pub(super) fn gang_to_stop(&mut self) -> Option<(Gang, Vec<id::Rack>)> {
        let attempt = self.broken_attempt.take()?;
        let racks = self.racks();
        let (team, job) = (self.job.team.clone(), self.job.id.clone());
        if racks.is_empty() {
            return None;
        }
        self.broken_attempt = Some(attempt);
        Some((Gang { team, job, attempt }, racks))
    }

    /// Whether members of a failed attempt of a gang may still run.
    pub(super) const fn has_broken_gang(&self) -> bool {
        self.broken_attempt.is_some()
    }

    /// Records that no member of the failed attempt is left.
    pub(super) const fn clear_broken_gang(&mut self) {
        self.broken_attempt = None;
    }

    fn is_current_attempt(&self, index: u32, attempt: u64) -> bool {
        matches!(
            self.tasks.get(index as usize),
            Some(TaskState::Placed { attempt: a, .. }) if *a == attempt
        )
    }

    fn requeue(&mut self, index: u32, saved_ms: u64) {
        if let Some(task) = self.tasks.get_mut(index as usize) {
            *task = TaskState::Waiting { saved_ms };
            self.queue.push_back(index);
        }
    }
}
