//! Heartbeats: what workers say, and what follows from their silence.

use std::time::Duration;

use policy::correct;
use wire::{Fate, Shape, TaskId};
use worker::call::{EndedTask, Heartbeat, Report, RunningTask, Throttle};

use super::Rack;
use super::place::TASK_LEASE;
use crate::attempt::{Command, Placed, Stage, stopped};
use crate::{Clock, Now};

/// A worker that has been silent for this long gets heartbeats that renew nothing, so that its
/// tasks end by themselves at a known time.
const LET_GO: Duration = Duration::from_secs(4);
/// A stop that has shown no effect for this long is repeated.
const REPEAT_STOP: Duration = Duration::from_secs(2);

impl Rack {
    /// The next heartbeat for a worker, with its address.
    pub fn next_heartbeat(&mut self, worker: &str, now: Now) -> Option<(String, Heartbeat)> {
        let until = self.authority.valid_until().filter(|until| now < *until);
        let host = self.hosts.get_mut(worker)?;
        let renew = until.is_some() && now.saturating_sub(host.last_answer) < LET_GO;
        if renew {
            host.leases_renewed = host.leases_renewed.max(until.unwrap_or(now));
        }
        let lease_ms = if renew {
            TASK_LEASE.as_millis() as u64
        } else {
            0
        };
        let forget = host.forget.clone();
        let pulse = Heartbeat {
            epoch: self.epoch,
            incarnation: host.incarnation,
            lease_ms,
            not_after: host.earliest_moment(until.unwrap_or(now)),
            forget,
        };
        Some((host.address.clone(), pulse))
    }

    /// A worker has answered a heartbeat that was sent at `sent`.
    pub fn heartbeat_answered(
        &mut self,
        worker: &str,
        pulse: &Heartbeat,
        report: &Report,
        sent: Now,
        now: Now,
    ) -> Vec<Command> {
        let Some(host) = self.hosts.get_mut(worker) else {
            return Vec::new();
        };
        host.clock = Clock::new(report.clock, sent, now);
        host.last_answer = host.last_answer.max(sent);
        host.reports_leaving = report.leaving;
        host.forget.retain(|id| !pulse.forget.contains(id));
        if pulse.epoch == self.epoch {
            self.authority.acknowledge(worker, sent);
        }
        self.reconcile(worker, report, sent, now);
        let mut commands = self.rein_in(worker);
        commands.extend(self.launch_awaiting(worker, now));
        commands
    }

    /// Lets time pass: holds lapse, silent workers' tasks are lost, stops are repeated.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.lapse(now);
        self.lapse_holds(now);
        self.lose_silent(now);
        self.repeat_stops(now)
    }

    /// Brings what is known of a worker's tasks in line with what it says.
    pub(super) fn reconcile(&mut self, worker: &str, report: &Report, sent: Now, now: Now) {
        for ended in &report.ended {
            self.ended(worker, ended, now);
        }
        for running in &report.tasks {
            self.running(worker, running, now);
        }
        let here = self.tasks.values().filter(|t| t.host == worker);
        let listed = |id: &TaskId| report.tasks.iter().any(|r| r.task.id == *id);
        let silent: Vec<(TaskId, Stage)> = here
            .filter(|t| !listed(t.id()))
            .map(|t| (t.id().clone(), t.stage))
            .collect();
        for (id, stage) in silent {
            match stage {
                // The worker's clock has passed the last moment at which it could start.
                Stage::Starting { not_after, .. } if report.clock > not_after => {
                    self.end(&id, Fate::NotStarted);
                }
                Stage::Running { since } if since < sent => self.end(&id, Fate::Lost),
                Stage::Stopping { since, preempted } if since < sent => {
                    self.end(&id, stopped(preempted, 0));
                }
                _ => {}
            }
        }
    }

    fn ended(&mut self, worker: &str, ended: &EndedTask, now: Now) {
        let known = self.tasks.remove(&ended.task).is_some();
        let host = self.hosts.get_mut(worker);
        let forgetting = host
            .as_ref()
            .is_some_and(|h| h.forget.contains(&ended.task));
        if known && let Some(host) = host {
            match ended.fate {
                Fate::Finished => host.record_outcome(false, now),
                Fate::Failed => host.record_outcome(true, now),
                _ => {}
            }
        }
        if known || !forgetting {
            self.tell(ended.home.clone(), ended.task.clone(), ended.fate);
        }
    }

    fn running(&mut self, worker: &str, running: &RunningTask, now: Now) {
        let id = &running.task.id;
        if !self.tasks.contains_key(id) {
            let stage = Stage::Running { since: now };
            self.tasks
                .insert(id.clone(), Placed::new(running.task.clone(), worker, stage));
            self.tell(running.task.home.clone(), id.clone(), Fate::Running);
        }
        let (margin, reclaim) = (self.settings.usage_margin, self.settings.reclaim);
        let Some(placed) = self.tasks.get_mut(id) else {
            return;
        };
        if matches!(placed.stage, Stage::Starting { .. }) {
            placed.stage = Stage::Running { since: now };
            let home = placed.task.home.clone();
            self.tell(home, id.clone(), Fate::Running);
        }
        if let Some(placed) = self.tasks.get_mut(id) {
            measure(placed, running, margin, reclaim);
        }
    }

    /// Brings a worker back within its true capacity when its tasks use more than they declared:
    /// those that do are throttled to what they said, and if memory is short, the batch task that
    /// is furthest beyond is checkpointed and stopped.
    fn rein_in(&mut self, worker: &str) -> Vec<Command> {
        let Some(host) = self.hosts.get(worker) else {
            return Vec::new();
        };
        let here = || {
            self.tasks
                .values()
                .filter(|t| t.host == worker && t.occupies())
        };
        let wanted: resource::Size = here().map(|t| t.reserve).sum();
        if wanted.fits(host.size) {
            return Vec::new();
        }
        let address = host.address.clone();
        let beyond = here().filter(|t| !t.peak.fits(t.task.size));
        let throttle = |t: &Placed| {
            let throttle = Throttle {
                epoch: self.epoch,
                task: t.id().clone(),
                size: t.task.size,
            };
            Command::Throttle {
                address: address.clone(),
                throttle,
            }
        };
        let mut commands: Vec<Command> = beyond.map(throttle).collect();
        if wanted.memory_mib > host.size.memory_mib {
            let batch = here().filter(|t| t.task.shape == Shape::Batch);
            let excess = |t: &&Placed| t.peak.memory_mib.saturating_sub(t.task.size.memory_mib);
            let worst = batch.max_by_key(excess).map(|t| t.id().clone());
            let now = host.last_answer;
            commands.extend(worst.and_then(|id| self.give_up(&id, true, true, now)));
        }
        commands
    }

    /// Tasks of workers that have been silent until their leases ran out are over.
    fn lose_silent(&mut self, now: Now) {
        let lapsed = |renewed: Now| now > renewed + TASK_LEASE + TASK_LEASE / 50;
        let hosts = self.hosts.iter().filter(|(_, h)| lapsed(h.leases_renewed));
        let silent: Vec<String> = hosts.map(|(name, _)| name.clone()).collect();
        for worker in silent {
            // Only what was started before the last renewal: nothing is started on a silent one.
            let here = self.tasks.values().filter(|t| t.host == worker);
            let ids: Vec<TaskId> = here.map(|t| t.id().clone()).collect();
            for id in ids {
                self.end(&id, Fate::Lost);
            }
        }
    }

    fn repeat_stops(&mut self, now: Now) -> Vec<Command> {
        let due = |t: &&Placed| match t.stage {
            Stage::Stopping { since, .. } => now > since + REPEAT_STOP,
            _ => false,
        };
        let due: Vec<TaskId> = self
            .tasks
            .values()
            .filter(due)
            .map(|t| t.id().clone())
            .collect();
        let mut commands = Vec::new();
        for id in due {
            let Some(placed) = self.tasks.get_mut(&id) else {
                continue;
            };
            let Stage::Stopping { preempted, .. } = placed.stage else {
                continue;
            };
            placed.stage = Stage::Running { since: now };
            commands.extend(self.give_up(&id, preempted, false, now));
        }
        commands
    }
}

/// Corrects what is set aside for a task from what it was seen to use.
fn measure(placed: &mut Placed, running: &RunningTask, margin: f64, reclaim: bool) {
    let (peak, usage) = (placed.peak, running.usage);
    placed.seen += 1;
    placed.peak = resource::Size::new(
        peak.millicores.max(usage.millicores),
        peak.memory_mib.max(usage.memory_mib),
        peak.accelerators.max(usage.accelerators),
    );
    let shrink = reclaim && placed.task.shape == Shape::Batch;
    placed.reserve = correct::reserve(placed.task.size, placed.peak, placed.seen, margin, shrink);
}
