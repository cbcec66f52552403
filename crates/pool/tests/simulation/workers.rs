//! Simulated workers: how they handle commands and polls, and when runs end.

use pool::{
    Ms, RunEnd, RunOutcome, RunStatus, Start, StartAnswer, Stop, StopAnswer, TaskKey, WorkerId,
    WorkerReport,
};
use rand::Rng as _;
use resource::Size;

use super::{Message, Run, STEP, Simulation};

impl Simulation {
    pub(super) fn start(&mut self, owner: usize, start: Start, answers: bool) {
        if !self.reaches(owner, &start.worker) {
            return;
        }
        let (now, clock) = (self.now, self.clock(&start.worker));
        let epoch = self.owners[owner].epoch;
        let size = start.job.steps[usize::from(start.task.stage.step)].demand();
        let takes = start.job.steps[usize::from(start.task.stage.step)].estimate;
        let bad = self.faulty.contains(&start.worker);
        let fails = bad || self.rng.random_bool(self.conditions.failure_rate);
        self.failures += usize::from(bad);
        let elsewhere = self
            .workers
            .iter()
            .any(|(id, machine)| *id != start.worker && machine.runs.contains_key(&start.task));
        let noted = self.stored_ends.contains(&start.task);
        let Some(machine) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let answer = if epoch < machine.epoch {
            StartAnswer::Fenced
        } else if machine
            .runs
            .get(&start.task)
            .is_some_and(|run| run.number == start.run)
        {
            StartAnswer::Running
        } else if machine
            .highest
            .get(&start.task)
            .is_some_and(|&high| high >= start.run)
        {
            StartAnswer::Old
        } else if clock > start.start_deadline {
            StartAnswer::Late
        } else {
            machine.epoch = epoch;
            machine.lease = machine.lease.max(start.start_deadline);
            let used = machine
                .runs
                .values()
                .fold(Size::ZERO, |sum, run| sum.plus(run.size));
            // A smaller capacity counts once the directory and a poll must have reported it.
            let room = match machine.room {
                Some((room, since))
                    if now.saturating_sub(since) > super::crashes::CAPACITY_DELAY =>
                {
                    room
                }
                _ => self.room,
            };
            if !used.plus(size).fits(room) {
                self.violations
                    .push(format!("{now}: capacity of {} exceeded", start.worker));
            }
            if elsewhere || machine.runs.contains_key(&start.task) {
                self.violations
                    .push(format!("{now}: {:?} runs twice", start.task));
            }
            if noted {
                self.violations
                    .push(format!("{now}: {:?} started after its end", start.task));
            }
            machine.highest.insert(start.task.clone(), start.run);
            let run = Run {
                number: start.run,
                size,
                ends: now + takes,
                fails,
                stopping: None,
            };
            machine.runs.insert(start.task.clone(), run);
            self.starts += 1;
            let born = machine.born;
            if self.count_start(&start.task) {
                let crash = Message::Crash(start.worker.clone(), born, start.task.clone());
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
        let Some(machine) = self.workers.get_mut(&stop.worker) else {
            return;
        };
        let answer = if epoch < machine.epoch {
            StopAnswer::Fenced
        } else {
            machine.epoch = epoch;
            let high = machine.highest.entry(stop.task.clone()).or_default();
            *high = (*high).max(stop.run);
            if let Some(run) = machine.runs.get_mut(&stop.task)
                && run.number == stop.run
            {
                run.stopping.get_or_insert(now + 100);
            }
            StopAnswer::Stopped(clock)
        };
        self.send_after(STEP, Message::Stopped(owner, stop, answer));
    }

    /// Ends the runs that are complete, that were stopped, or whose lease has expired.
    pub(super) fn end_runs(&mut self) {
        let now = self.now;
        let clocks: Vec<Ms> = self.workers.keys().map(|id| self.clock(id)).collect();
        for (machine, clock) in self.workers.values_mut().zip(clocks) {
            let lapsed = clock > machine.lease;
            let over: Vec<(TaskKey, RunOutcome)> = machine
                .runs
                .iter()
                .filter_map(|(key, run)| {
                    let how = if lapsed {
                        RunOutcome::Lapsed
                    } else if run.stopping.is_some_and(|at| now >= at) {
                        RunOutcome::Stopped
                    } else if now >= run.ends {
                        if run.fails {
                            RunOutcome::Failed
                        } else {
                            RunOutcome::Done
                        }
                    } else {
                        return None;
                    };
                    Some((key.clone(), how))
                })
                .collect();
            for (task, how) in over {
                let run = machine.runs.remove(&task).map_or(0, |run| run.number);
                machine.ends += 1;
                machine.ended.push(RunEnd {
                    number: machine.ends,
                    task,
                    run,
                    outcome: how,
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
                let Some((born, _, noted)) = self.owners[owner]
                    .pool
                    .worker(id)
                    .map(pool::Worker::end_cursor)
                else {
                    continue;
                };
                let now = self.now;
                let lease = self.owners[owner].pool.extend_lease(now, id);
                let Some(machine) = self.workers.get_mut(id) else {
                    continue;
                };
                if epoch < machine.epoch {
                    self.owners[owner].stopped = true;
                    break;
                }
                machine.epoch = epoch;
                machine.lease = machine.lease.max(lease.unwrap_or(0));
                if born == machine.born {
                    for end in machine.ended.iter().filter(|end| end.number <= noted) {
                        if end.outcome == RunOutcome::Done {
                            self.stored_ends.insert(end.task.clone());
                        }
                    }
                    machine.ended.retain(|end| end.number > noted);
                }
                let listing = WorkerReport {
                    clock,
                    incarnation: machine.born,
                    lease: lease.unwrap_or(0),
                    requested_at: self.now,
                    running: machine
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
                    ended: machine.ended.clone(),
                };
                if self.mute.contains(id) {
                    self.owners[owner].pool.mark_unresponsive(id);
                } else {
                    self.send_after(STEP, Message::Listing(owner, id.clone(), listing));
                }
            }
        }
    }
}
