//! Simulated workers: how they handle commands and polls, and when runs end.

use std::sync::Arc;

use pool::{
    Limit, Ms, RunEnd, RunOutcome, RunStatus, Start, StartAnswer, Stop, StopAnswer, TaskKey,
    WorkerId, WorkerReport,
};
use rand::Rng as _;
use resource::Size;

use super::{Message, Run, STEP, Simulation};

/// Largest number of ends in a report.
const MAX_LISTED_ENDS: usize = 500;

impl Simulation {
    pub(super) fn start(&mut self, owner: usize, start: Start, answers: bool) {
        if !self.reaches(owner, &start.worker) {
            return;
        }
        let (now, clock) = (self.now, self.clock(&start.worker));
        let epoch = self.owners[owner].epoch;
        let size = start.job.steps[usize::from(start.task.stage.step)].demand();
        let duration = start.job.steps[usize::from(start.task.stage.step)].estimate;
        let faulty = self.faulty.contains(&start.worker);
        let fails = faulty || self.rng.random_bool(self.conditions.failure_rate);
        self.failures += usize::from(faulty);
        let elsewhere = self
            .workers
            .iter()
            .any(|(id, worker)| *id != start.worker && worker.runs.contains_key(&start.task));
        let end_stored = self.stored_ends.contains(&start.task);
        let step = &start.job.steps[usize::from(start.task.stage.step)];
        let charge = (Arc::clone(&start.job.customer), step.charge());
        let limit = self.limits.get(&start.job.customer);
        let allowed = limit.is_none_or(|&limit| {
            Limit::from(limit).allows(self.running(&start.job.customer), charge.1)
        });
        let Some(worker) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let answer = if epoch < worker.epoch {
            StartAnswer::Fenced
        } else if worker
            .runs
            .get(&start.task)
            .is_some_and(|run| run.number == start.run)
        {
            StartAnswer::Running
        } else if worker
            .highest_runs
            .get(&start.task)
            .is_some_and(|&highest| highest >= start.run)
        {
            StartAnswer::Old
        } else if clock > start.start_deadline {
            StartAnswer::Late
        } else {
            worker.epoch = epoch;
            worker.lease = worker.lease.max(start.start_deadline);
            let used = worker
                .runs
                .values()
                .fold(Size::ZERO, |sum, run| sum.plus(run.size));
            // A smaller capacity counts once the directory and a poll must have reported it.
            let capacity = match worker.capacity {
                Some((capacity, since))
                    if now.saturating_sub(since) > super::crashes::CAPACITY_DELAY =>
                {
                    capacity
                }
                _ => self.capacity,
            };
            if !used.plus(size).fits(capacity) {
                self.violations
                    .push(format!("{now}: capacity of {} exceeded", start.worker));
            }
            if !allowed {
                let customer = &start.job.customer;
                self.violations
                    .push(format!("{now}: limit of {customer} exceeded"));
            }
            if elsewhere || worker.runs.contains_key(&start.task) {
                self.violations
                    .push(format!("{now}: {:?} runs twice", start.task));
            }
            if end_stored {
                self.violations
                    .push(format!("{now}: {:?} started after its end", start.task));
            }
            worker.highest_runs.insert(start.task.clone(), start.run);
            let run = Run {
                number: start.run,
                size,
                charge,
                ends_at: now + duration,
                duration,
                gang_size: if step.gang { step.count } else { 0 },
                fails,
                stops_at: None,
            };
            worker.runs.insert(start.task.clone(), run);
            self.starts += 1;
            let incarnation = worker.incarnation;
            self.check_not_cancelled(&start.task);
            if self.count_start(&start.task) {
                let crash = Message::Crash(start.worker.clone(), incarnation, start.task.clone());
                self.send_after(2 * STEP, crash);
            }
            StartAnswer::Running
        };
        if answers {
            self.send_after(STEP, Message::Started(owner, start, answer));
        }
    }

    pub(super) fn stop(&mut self, owner: usize, stop: Stop) {
        if !self.reaches(owner, &stop.worker) {
            self.send_after(450, Message::Stopped(owner, stop, StopAnswer::Lost));
            return;
        }
        let (now, clock) = (self.now, self.clock(&stop.worker));
        let epoch = self.owners[owner].epoch;
        let Some(worker) = self.workers.get_mut(&stop.worker) else {
            return;
        };
        let answer = if epoch < worker.epoch {
            StopAnswer::Fenced
        } else {
            worker.epoch = epoch;
            let highest = worker.highest_runs.entry(stop.task.clone()).or_default();
            *highest = (*highest).max(stop.run);
            if let Some(run) = worker.runs.get_mut(&stop.task)
                && run.number == stop.run
            {
                run.stops_at.get_or_insert(now + 100);
            }
            StopAnswer::Stopped(clock)
        };
        self.send_after(STEP, Message::Stopped(owner, stop, answer));
    }

    /// Ends the runs that are complete, that were stopped, or whose lease has expired.
    pub(super) fn end_runs(&mut self) {
        let now = self.now;
        let clocks: Vec<Ms> = self.workers.keys().map(|id| self.clock(id)).collect();
        let gangs = &self.gangs;
        for (worker, clock) in self.workers.values_mut().zip(clocks) {
            let expired = clock > worker.lease;
            let ended: Vec<(TaskKey, RunOutcome)> = worker
                .runs
                .iter()
                .filter_map(|(key, run)| {
                    let outcome = if expired {
                        RunOutcome::Lapsed
                    } else if run.stops_at.is_some_and(|time| now >= time) {
                        RunOutcome::Stopped
                    } else if run.gang_size > 0 {
                        Self::gang_outcome(gangs, key, run)?
                    } else if now >= run.ends_at {
                        if run.fails {
                            RunOutcome::Failed
                        } else {
                            RunOutcome::Done
                        }
                    } else {
                        return None;
                    };
                    Some((key.clone(), outcome))
                })
                .collect();
            for (task, outcome) in ended {
                let run = worker.runs.remove(&task).map_or(0, |run| run.number);
                worker.end_count += 1;
                worker.unstored_ends.push(RunEnd {
                    number: worker.end_count,
                    task,
                    run,
                    outcome,
                    checkpoint: String::new(),
                });
            }
        }
    }

    /// Each owner polls each worker every 50 ms.
    pub(super) fn poll_workers(&mut self) {
        if !self.now.is_multiple_of(50) {
            return;
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for owner in 0..self.owners.len() {
            if self.owners[owner].stopped || self.owners[owner].paused_until > self.now {
                continue;
            }
            for id in &ids {
                if !self.reaches(owner, id) {
                    continue;
                }
                let clock = self.clock(id);
                let epoch = self.owners[owner].epoch;
                let Some((incarnation, _, stored)) = self.owners[owner]
                    .pool
                    .worker(id)
                    .map(pool::Worker::end_cursor)
                else {
                    continue;
                };
                let now = self.now;
                let lease = self.owners[owner].pool.extend_lease(now, id);
                let Some(worker) = self.workers.get_mut(id) else {
                    continue;
                };
                if epoch < worker.epoch {
                    self.owners[owner].stopped = true;
                    break;
                }
                worker.epoch = epoch;
                worker.lease = worker.lease.max(lease.unwrap_or(0));
                // Owners let an acknowledgement reach only the incarnation that it names.
                if incarnation == worker.incarnation {
                    for end in worker
                        .unstored_ends
                        .iter()
                        .filter(|end| end.number <= stored)
                    {
                        if end.outcome == RunOutcome::Done {
                            self.stored_ends.insert(end.task.clone());
                        }
                    }
                    worker.unstored_ends.retain(|end| end.number > stored);
                }
                let report = WorkerReport {
                    clock,
                    incarnation: worker.incarnation,
                    lease: lease.unwrap_or(0),
                    requested_at: self.now,
                    running: worker
                        .runs
                        .iter()
                        .map(|(task, run)| RunStatus {
                            task: task.clone(),
                            run: run.number,
                            checkpoint: String::new(),
                            percent: (self.now / 10 % 100) as u32,
                            load: 0,
                        })
                        .collect(),
                    ended: worker
                        .unstored_ends
                        .iter()
                        .take(MAX_LISTED_ENDS)
                        .cloned()
                        .collect(),
                };
                if self.mute.contains(id) {
                    self.owners[owner].pool.mark_unresponsive(id);
                } else {
                    self.send_after(STEP, Message::Report(owner, id.clone(), report));
                }
            }
        }
    }
}
