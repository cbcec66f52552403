//! Heartbeats: reports of the workers, and what follows when a worker stops answering.

use std::time::Duration;

use policy::correct;
use wire::{AttemptState, Shape, TaskId};
use worker::call::{EndedTask, Heartbeat, Report, RunningTask, Throttle};

use super::Rack;
use super::place::TASK_LEASE;
use crate::attempt::{Attempt, AttemptPhase, Command, state_after_stop};
use crate::{Clock, Now};

/// A worker that has not answered for this long gets heartbeats that renew nothing, so that its
/// tasks end on their own at a known time.
const RENEWAL_CUTOFF: Duration = Duration::from_secs(4);
/// A stop command that has had no effect for this long is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Rack {
    /// The next heartbeat for a worker, with the worker's address.
    pub fn next_heartbeat(&mut self, worker: &str, now: Now) -> Option<(String, Heartbeat)> {
        let until = self.authority.valid_until().filter(|until| now < *until);
        let host = self.hosts.get_mut(worker)?;
        let renew = until.is_some() && now.saturating_sub(host.last_answer) < RENEWAL_CUTOFF;
        if renew {
            host.leases_renewed = host.leases_renewed.max(until.unwrap_or(now));
        }
        let lease_ms = if renew {
            TASK_LEASE.as_millis() as u64
        } else {
            0
        };
        let forget = host.forget.clone();
        let heartbeat = Heartbeat {
            epoch: self.epoch,
            incarnation: host.incarnation,
            lease_ms,
            not_after: host.earliest_moment(until.unwrap_or(now)),
            forget,
        };
        Some((host.address.clone(), heartbeat))
    }

    /// A worker has answered a heartbeat that was sent at `sent`.
    pub fn heartbeat_answered(
        &mut self,
        worker: &str,
        heartbeat: &Heartbeat,
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
        host.forget.retain(|id| !heartbeat.forget.contains(id));
        if heartbeat.epoch == self.epoch {
            self.authority.acknowledge(worker, sent);
        }
        self.reconcile(worker, report, sent, now);
        self.report_stable(worker);
        let mut commands = self.relieve_overload(worker);
        commands.extend(self.launch_awaiting(worker, now));
        commands
    }

    /// Expires holds and runs, ends the tasks of unresponsive workers and repeats stop commands.
    pub fn tick(&mut self, now: Now) -> Vec<Command> {
        self.free_expired_runs(now);
        self.expire_holds(now);
        self.end_expired_attempts(now);
        self.repeat_stops(now)
    }

    /// Brings the state of a worker's tasks in line with its report.
    pub(super) fn reconcile(&mut self, worker: &str, report: &Report, sent: Now, now: Now) {
        for ended in &report.ended {
            self.attempt_ended(worker, ended, now);
        }
        for running in &report.tasks {
            self.attempt_running(worker, running, now);
        }
        let on_worker = self.tasks.values().filter(|t| t.worker == worker);
        let listed = |id: &TaskId| report.tasks.iter().any(|r| r.task.id == *id);
        let unlisted: Vec<(TaskId, AttemptPhase)> = on_worker
            .filter(|t| !listed(t.id()))
            .map(|t| (t.id().clone(), t.phase))
            .collect();
        for (id, phase) in unlisted {
            match phase {
                // The worker's clock is past the latest moment at which the task could start.
                AttemptPhase::Starting { not_after, .. } if report.clock > not_after => {
                    self.end_attempt(&id, AttemptState::NotStarted);
                }
                AttemptPhase::Running { since } if since < sent => {
                    self.end_attempt(&id, AttemptState::Interrupted);
                }
                AttemptPhase::Stopping { since, preempted } if since < sent => {
                    self.end_attempt(&id, state_after_stop(preempted, 0));
                }
                _ => {}
            }
        }
    }

    fn attempt_ended(&mut self, worker: &str, ended: &EndedTask, now: Now) {
        let known = self.tasks.remove(&ended.task).is_some();
        let host = self.hosts.get_mut(worker);
        let recorded = host
            .as_ref()
            .is_some_and(|h| h.forget.contains(&ended.task));
        if known && let Some(host) = host {
            match ended.state {
                AttemptState::Finished => host.record_outcome(false, now),
                AttemptState::Failed => host.record_outcome(true, now),
                _ => {}
            }
        }
        // The worker has not restarted, so the attempt did not crash it.
        let state = match ended.state {
            AttemptState::Lost => AttemptState::Interrupted,
            state => state,
        };
        if known || !recorded {
            self.record_event(ended.home.clone(), ended.task.clone(), state);
        }
    }

    fn attempt_running(&mut self, worker: &str, running: &RunningTask, now: Now) {
        let id = &running.task.id;
        if !self.tasks.contains_key(id) {
            let phase = AttemptPhase::Running { since: now };
            self.tasks.insert(
                id.clone(),
                Attempt::new(running.task.clone(), worker, phase, None),
            );
            self.record_event(running.task.home.clone(), id.clone(), AttemptState::Running);
        }
        let (margin, reclaim) = (self.settings.usage_margin, self.settings.reclaim);
        let Some(attempt) = self.tasks.get_mut(id) else {
            return;
        };
        if matches!(attempt.phase, AttemptPhase::Starting { .. }) {
            attempt.phase = AttemptPhase::Running { since: now };
            let home = attempt.task.home.clone();
            self.record_event(home, id.clone(), AttemptState::Running);
        }
        if let Some(attempt) = self.tasks.get_mut(id) {
            record_usage(attempt, running, margin, reclaim);
        }
    }

    /// Brings a worker back within its capacity when its tasks use more than they declared. Those
    /// tasks are throttled to their declared size; if memory is short, the batch task that exceeds
    /// its declaration most is checkpointed and stopped.
    fn relieve_overload(&mut self, worker: &str) -> Vec<Command> {
        let Some(host) = self.hosts.get(worker) else {
            return Vec::new();
        };
        let on_worker = || {
            self.tasks
                .values()
                .filter(|t| t.worker == worker && t.occupies())
        };
        let reserved: resource::Size = on_worker().map(|t| t.reserved).sum();
        if reserved.fits(host.size) {
            return Vec::new();
        }
        let address = host.address.clone();
        let over_declared = on_worker().filter(|t| !t.peak.fits(t.task.size));
        let throttle = |t: &Attempt| {
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
        let mut commands: Vec<Command> = over_declared.map(throttle).collect();
        if reserved.memory_mib > host.size.memory_mib {
            let batch = on_worker().filter(|t| t.task.shape == Shape::Batch);
            let excess = |t: &&Attempt| t.peak.memory_mib.saturating_sub(t.task.size.memory_mib);
            let worst = batch.max_by_key(excess).map(|t| t.id().clone());
            let now = host.last_answer;
            commands.extend(worst.and_then(|id| self.stop_attempt(&id, true, true, now)));
        }
        commands
    }

    /// Ends, as interrupted, all attempts on the workers that have not answered until their task leases
    /// expired, also held and awaiting ones that never started.
    fn end_expired_attempts(&mut self, now: Now) {
        let expired = |renewed: Now| now > renewed + TASK_LEASE + TASK_LEASE / 50;
        let hosts = self.hosts.iter().filter(|(_, h)| expired(h.leases_renewed));
        let silent: Vec<String> = hosts.map(|(name, _)| name.clone()).collect();
        for worker in silent {
            // None of these tasks can run any longer. An unresponsive worker is chosen for nothing
            // new, and `leases_renewed` covers the latest time at which a start command that was
            // sent to it may have taken effect.
            let on_worker = self.tasks.values().filter(|t| t.worker == worker);
            let ids: Vec<TaskId> = on_worker.map(|t| t.id().clone()).collect();
            for id in ids {
                self.end_attempt(&id, AttemptState::Interrupted);
            }
        }
    }

    fn repeat_stops(&mut self, now: Now) -> Vec<Command> {
        let due = |t: &&Attempt| match t.phase {
            AttemptPhase::Stopping { since, .. } => now > since + STOP_RETRY_DELAY,
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
            let Some(attempt) = self.tasks.get_mut(&id) else {
                continue;
            };
            let AttemptPhase::Stopping { preempted, .. } = attempt.phase else {
                continue;
            };
            attempt.phase = AttemptPhase::Running { since: now };
            commands.extend(self.stop_attempt(&id, preempted, false, now));
        }
        commands
    }
}

/// Adjusts the capacity that is reserved for a task to its reported usage.
fn record_usage(attempt: &mut Attempt, running: &RunningTask, margin: f64, reclaim: bool) {
    let (peak, usage) = (attempt.peak, running.usage);
    attempt.usage_reports += 1;
    attempt.peak = resource::Size::new(
        peak.millicores.max(usage.millicores),
        peak.memory_mib.max(usage.memory_mib),
        peak.accelerators.max(usage.accelerators),
    );
    let shrink = reclaim && attempt.task.shape == Shape::Batch;
    attempt.reserved = correct::reserve(
        attempt.task.size,
        attempt.peak,
        attempt.usage_reports,
        margin,
        shrink,
    );
}
