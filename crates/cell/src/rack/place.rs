//! Placement of tasks on workers, and preemption.

use std::time::Duration;

use policy::evict::{self, Victim};
use policy::{Rule, choose};
use resource::id;
use wire::{Band, Digest, Gang, Mode, PlaceReply, PlaceRequest, Placement, Shape, Task, TaskId};
use worker::call::{Start, Stop};

use super::Rack;
use crate::Now;
use crate::attempt::{Attempt, AttemptPhase, Command, Outcome, state_after_stop};

/// How long a task may run without a heartbeat.
pub const TASK_LEASE: Duration = Duration::from_secs(10);
/// How long capacity is held for a gang that is not complete.
const GANG_HOLD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a start command may take to reach the worker.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a task waits for preempted tasks to end before its owner tries elsewhere.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(3);

impl Rack {
    /// Places the tasks of a request. Returns the reply and the commands to be sent to the workers.
    pub fn place(&mut self, request: &PlaceRequest, now: Now) -> (PlaceReply, Vec<Command>) {
        let current_epoch = request.epoch == self.epoch;
        if !current_epoch || !self.may_act(now) || !self.accept_message(&request.from) {
            let placements = vec![Placement::NotOwner; request.tasks.len()];
            return (
                PlaceReply {
                    placements,
                    digest: None,
                },
                Vec::new(),
            );
        }
        self.note_last_tries(request, now);
        let (placements, commands) = match request.mode {
            Mode::Start => self.start_tasks(request, now),
            Mode::Hold => (self.hold_tasks(request, now), Vec::new()),
        };
        let digest: Digest = self.digest(now);
        (
            PlaceReply {
                placements,
                digest: Some(digest),
            },
            commands,
        )
    }

    /// Starts a gang that is held here; `None` if the hold has expired.
    pub fn commit(&mut self, gang: &Gang, now: Now) -> Option<Vec<Command>> {
        let members = self.gang_attempts(gang);
        let held = |id: &TaskId| matches!(self.tasks[id].phase, AttemptPhase::Held { .. });
        if !self.may_act(now) || members.is_empty() || !members.iter().all(held) {
            return None;
        }
        Some(
            members
                .iter()
                .filter_map(|id| self.launch(id, now))
                .collect(),
        )
    }

    /// Aborts a gang: releases what is held and stops what was started.
    pub fn abort(&mut self, gang: &Gang, now: Now) -> Vec<Command> {
        let members = self.gang_attempts(gang);
        members
            .iter()
            .filter_map(|id| self.stop_attempt(id, false, false, now))
            .collect()
    }

    /// Stops every task of a job.
    pub fn stop_job(&mut self, team: &str, job: &str, now: Now) -> Vec<Command> {
        let of_job = |id: &&TaskId| id.team == team && id.job == job;
        let ids: Vec<TaskId> = self.tasks.keys().filter(of_job).cloned().collect();
        ids.iter()
            .filter_map(|id| self.stop_attempt(id, false, false, now))
            .collect()
    }

    /// Applies the outcome of a start command.
    pub fn start_outcome(&mut self, id: &TaskId, outcome: Outcome, now: Now) {
        let Some(attempt) = self.tasks.get_mut(id) else {
            return;
        };
        if !matches!(attempt.phase, AttemptPhase::Starting { .. }) {
            return;
        }
        match outcome {
            Outcome::Done { .. } => {
                attempt.phase = AttemptPhase::Running { since: now };
                let home = attempt.task.home.clone();
                self.record_event(home, id.clone(), wire::AttemptState::Running);
            }
            Outcome::Refused => self.end_attempt(id, wire::AttemptState::NotStarted),
            Outcome::Unknown => {}
        }
    }

    /// Applies the outcome of a stop command, and starts tasks that waited for the capacity.
    pub fn stop_outcome(&mut self, id: &TaskId, outcome: Outcome, now: Now) -> Vec<Command> {
        let Some(attempt) = self.tasks.get(id) else {
            return Vec::new();
        };
        let (host, phase) = (attempt.worker.clone(), attempt.phase);
        if let (AttemptPhase::Stopping { preempted, .. }, Outcome::Done { saved_ms }) =
            (phase, outcome)
        {
            self.end_attempt(id, state_after_stop(preempted, saved_ms));
        }
        self.launch_awaiting(&host, now)
    }

    /// Starts waiting tasks on a worker for which enough capacity has become free.
    pub(super) fn launch_awaiting(&mut self, worker: &str, now: Now) -> Vec<Command> {
        let Some(host) = self.hosts.get(worker) else {
            return Vec::new();
        };
        let mut available = self.unoccupied_capacity(worker, host);
        let waits =
            |t: &&Attempt| t.worker == worker && matches!(t.phase, AttemptPhase::Awaiting { .. });
        let waiting: Vec<TaskId> = self
            .tasks
            .values()
            .filter(waits)
            .map(|t| t.id().clone())
            .collect();
        let mut commands = Vec::new();
        for id in waiting {
            let Some(remaining) = available.minus(self.tasks[&id].reserved) else {
                continue;
            };
            available = remaining;
            commands.extend(self.launch(&id, now));
        }
        commands
    }

    /// Releases capacity that was held or awaited for too long.
    pub(super) fn expire_holds(&mut self, now: Now) {
        let due = |t: &&Attempt| match t.phase {
            AttemptPhase::Held { until } | AttemptPhase::Awaiting { until } => until <= now,
            _ => false,
        };
        let due: Vec<TaskId> = self
            .tasks
            .values()
            .filter(due)
            .map(|t| t.id().clone())
            .collect();
        for id in due {
            self.end_attempt(&id, wire::AttemptState::NotStarted);
        }
    }

    fn start_tasks(&mut self, request: &PlaceRequest, now: Now) -> (Vec<Placement>, Vec<Command>) {
        let mut commands = Vec::new();
        let mut place = |(task, crashes): (&Task, u32)| {
            if self.tasks.contains_key(&task.id) {
                return Placement::Placed;
            }
            if let Some(worker) = self.choose_worker(task, crashes, now) {
                let phase = AttemptPhase::Awaiting { until: now };
                let attempt = Attempt::new(task.clone(), &worker, phase, Some(crashes));
                self.tasks.insert(task.id.clone(), attempt);
                commands.extend(self.launch(&task.id, now));
                return Placement::Placed;
            }
            match self.evict_for(task, crashes, now) {
                Some(stops) => {
                    commands.extend(stops);
                    Placement::Placed
                }
                None => Placement::Full,
            }
        };
        let placements = request.tasks_with_crashes().map(&mut place).collect();
        (placements, commands)
    }

    fn hold_tasks(&mut self, request: &PlaceRequest, now: Now) -> Vec<Placement> {
        let tasks = &request.tasks;
        for (task, crashes) in request.tasks_with_crashes() {
            if self.tasks.contains_key(&task.id) {
                continue;
            }
            let Some(worker) = self.choose_worker(task, crashes, now) else {
                for task in tasks {
                    self.tasks.remove(&task.id);
                }
                return vec![Placement::Full; tasks.len()];
            };
            let phase = AttemptPhase::Held {
                until: now + GANG_HOLD_TIMEOUT,
            };
            let attempt = Attempt::new(task.clone(), &worker, phase, Some(crashes));
            self.tasks.insert(task.id.clone(), attempt);
        }
        vec![Placement::Placed; tasks.len()]
    }

    fn choose_worker(&self, task: &Task, crashes: u32, now: Now) -> Option<id::Worker> {
        let rule = match task.shape {
            Shape::Service => Rule::Spread,
            Shape::Batch => self.settings.batch,
            Shape::Gang => Rule::BestFit,
        };
        let (names, candidates) = self.candidates(now, &task.id, crashes);
        choose::place(rule, &candidates, task.size).map(|index| names[index].clone())
    }

    /// Stops batch tasks of lower bands on one worker so that `task` fits there.
    fn evict_for(&mut self, task: &Task, crashes: u32, now: Now) -> Option<Vec<Command>> {
        if task.band == Band::Borrowed {
            return None;
        }
        let accepting = self.accepting(&task.id, crashes, now);
        let eviction = |worker: &id::Worker, free| {
            let lower = self.tasks.values().filter(|t| {
                t.worker == *worker
                    && t.task.shape == Shape::Batch
                    && yields_to(t.task.band, task.band)
                    && matches!(t.phase, AttemptPhase::Running { .. })
            });
            let lower: Vec<&Attempt> = lower.collect();
            let victim = |t: &&Attempt| Victim {
                size: t.reserved,
                lost_work_ms: unsaved_work_ms(t, now),
            };
            let victims: Vec<Victim> = lower.iter().map(victim).collect();
            let chosen = evict::victims(free, task.size, &victims)?;
            let loss: u64 = chosen
                .iter()
                .map(|&index| victims[index].lost_work_ms)
                .sum();
            let ids: Vec<TaskId> = chosen
                .iter()
                .map(|&index| lower[index].id().clone())
                .collect();
            Some((ids.len(), loss, worker.clone(), ids))
        };
        let evictions =
            accepting.filter_map(|(name, host)| eviction(name, self.free_capacity(name, host)));
        let (_, _, worker, ids) = evictions.min_by_key(|(n, loss, ..)| (*n, *loss))?;
        let phase = AttemptPhase::Awaiting {
            until: now + EVICTION_TIMEOUT,
        };
        let attempt = Attempt::new(task.clone(), &worker, phase, Some(crashes));
        self.tasks.insert(task.id.clone(), attempt);
        Some(
            ids.iter()
                .filter_map(|id| self.stop_attempt(id, true, true, now))
                .collect(),
        )
    }

    /// Builds the command to start a task for which there is capacity on its worker.
    fn launch(&mut self, id: &TaskId, now: Now) -> Option<Command> {
        let until = self.authority.valid_until()?.min(now + START_TIMEOUT);
        let attempt = self.tasks.get_mut(id)?;
        let host = self.hosts.get_mut(&attempt.worker)?;
        host.work_sent();
        host.leases_renewed = host.leases_renewed.max(until);
        let not_after = host.earliest_moment(until);
        attempt.phase = AttemptPhase::Starting {
            not_after,
            sent: now,
        };
        attempt.launched = Some(now);
        let start = Start {
            epoch: self.epoch,
            incarnation: host.incarnation,
            not_after,
            lease_ms: TASK_LEASE.as_millis() as u64,
            task: attempt.task.clone(),
        };
        Some(Command::Start {
            address: host.address.clone(),
            start,
        })
    }

    /// Stops an attempt, or removes it if it was not started.
    pub(super) fn stop_attempt(
        &mut self,
        id: &TaskId,
        preempted: bool,
        checkpoint: bool,
        now: Now,
    ) -> Option<Command> {
        let attempt = self.tasks.get_mut(id)?;
        if !matches!(
            attempt.phase,
            AttemptPhase::Starting { .. } | AttemptPhase::Running { .. }
        ) {
            if !matches!(attempt.phase, AttemptPhase::Stopping { .. }) {
                self.end_attempt(id, wire::AttemptState::NotStarted);
            }
            return None;
        }
        attempt.phase = AttemptPhase::Stopping {
            since: now,
            preempted,
        };
        let address = self.hosts.get(&attempt.worker)?.address.clone();
        let stop = Stop {
            epoch: self.epoch,
            task: id.clone(),
            checkpoint,
        };
        Some(Command::Stop { address, stop })
    }

    fn gang_attempts(&self, gang: &Gang) -> Vec<TaskId> {
        let of_gang =
            |id: &&TaskId| id.team == gang.team && id.job == gang.job && id.attempt == gang.attempt;
        self.tasks.keys().filter(of_gang).cloned().collect()
    }
}

/// Whether work of one band may be preempted for work of another.
///
/// Borrowed capacity is reclaimed by any work within its quota. Among work within quotas only
/// urgent work preempts the rest.
pub(super) const fn yields_to(lower: Band, higher: Band) -> bool {
    match higher {
        Band::Urgent => !matches!(lower, Band::Urgent),
        Band::Normal | Band::Standing => matches!(lower, Band::Borrowed),
        Band::Borrowed => false,
    }
}

/// Work that a task loses if its checkpoint fails, in milliseconds.
fn unsaved_work_ms(attempt: &Attempt, now: Now) -> u64 {
    match attempt.phase {
        AttemptPhase::Running { since } => now.saturating_sub(since).as_millis() as u64,
        _ => 0,
    }
}
