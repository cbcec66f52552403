//! A fake worker with its executor.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use resource::{Size, id};
use serde::{Deserialize, Serialize};
use wire::{AttemptState, Body, Shape, Task, TaskId};
use worker::call::{
    Adopt, Adopted, EndedTask, Heartbeat, Hello, Moment, OccupiedKey, Report, Run, RunResult,
    RunningTask, Start, Stop, Stopped, Throttle, Void, Voided,
};
use worker::{EpochFence, Refusal};

use crate::journal::{Journal, Span};

/// Faults that a worker can be switched to.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Reports that it is leaving and refuses new work.
    pub leaving: bool,
    /// Answers no call.
    pub frozen: bool,
    /// Fails every task and quick request that it starts.
    pub fails: bool,
    /// Runs quick requests, but their answers are lost.
    pub loses_answers: bool,
    /// Share of the declared size that tasks use, in percent; 0 selects the default share.
    pub usage_percent: u32,
}

/// Maximum number of completed runs that are kept for [`Machine::void`].
const MAX_COMPLETED_RUNS: usize = 4_096;
/// Default share of the declared size that tasks use, in percent.
const DEFAULT_USAGE_PERCENT: u64 = 60;
/// Time after the start of a task before its usage is reported, in milliseconds; 0 is reported
/// until then.
const USAGE_LAG: Moment = 2_000;

/// One worker. It has no clock: callers pass in the time, in milliseconds of the worker's own
/// clock.
#[derive(Debug)]
pub struct Machine {
    size: Size,
    slots: u32,
    fence: EpochFence,
    faults: WorkerFaults,
    tasks: BTreeMap<TaskId, ActiveTask>,
    ended: Vec<EndedTask>,
    known_attempts: BTreeSet<TaskId>,
    runs: BTreeMap<(String, u64), ActiveRun>,
    completed: VecDeque<((String, u64), Option<RunResult>)>,
    journal: Journal,
}

#[derive(Debug)]
struct ActiveTask {
    task: Task,
    since: Moment,
    expires: Moment,
}

#[derive(Debug)]
struct ActiveRun {
    key: String,
    until: Moment,
    span: usize,
}

impl Machine {
    /// A worker of this size and incarnation that runs up to `slots` quick requests at once.
    #[must_use]
    pub fn new(size: Size, slots: u32, incarnation: id::Incarnation) -> Self {
        Self {
            size,
            slots,
            fence: EpochFence::new(incarnation),
            faults: WorkerFaults::default(),
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            known_attempts: BTreeSet::new(),
            runs: BTreeMap::new(),
            completed: VecDeque::new(),
            journal: Journal::default(),
        }
    }

    /// Restarts the worker under the next incarnation. Tasks and runs are lost; the journal and the
    /// faults are kept.
    pub fn restart(&mut self) {
        let journal = std::mem::take(&mut self.journal);
        let faults = self.faults;
        *self = Self::new(self.size, self.slots, self.fence.incarnation() + 1);
        self.journal = journal;
        self.faults = faults;
    }

    /// Replaces the faults.
    pub const fn set(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// The current faults.
    #[must_use]
    pub const fn faults(&self) -> WorkerFaults {
        self.faults
    }

    /// Task attempts that are running.
    pub fn running_attempts(&self) -> impl Iterator<Item = &TaskId> {
        self.tasks.keys()
    }

    /// Record of its executions.
    #[must_use]
    pub const fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Its incarnation and the epoch of its owner.
    #[must_use]
    pub const fn hello(&self) -> Hello {
        Hello {
            incarnation: self.fence.incarnation(),
            epoch: self.fence.epoch(),
        }
    }

    /// Accepts a new owner.
    ///
    /// # Errors
    /// As [`EpochFence::adopt`].
    pub fn adopt(&mut self, adopt: &Adopt, now: Moment) -> Result<Adopted, Refusal> {
        self.fence.adopt(adopt.epoch, adopt.incarnation)?;
        Ok(Adopted {
            size: self.size,
            slots: self.slots,
            report: self.report(now),
        })
    }

    /// Renews the leases of all tasks, drops the acknowledged ends, and returns its state.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Moment) -> Result<Report, Refusal> {
        self.fence
            .admit(heartbeat.epoch, heartbeat.incarnation, 0, 0)?;
        self.tick(now);
        if heartbeat.lease_ms > 0 && now <= heartbeat.not_after {
            for running_task in self.tasks.values_mut() {
                running_task.expires = running_task.expires.max(now + heartbeat.lease_ms);
            }
        }
        self.ended
            .retain(|ended| !heartbeat.forget.contains(&ended.task));
        Ok(self.report(now))
    }

    /// Starts a quick request. `recorded_at` is the time that the journal gets.
    ///
    /// # Errors
    /// A [`Refusal`]: this attempt will never run.
    pub fn begin_run(&mut self, run: &Run, now: Moment, recorded_at: u64) -> Result<(), Refusal> {
        self.fence
            .admit(run.epoch, run.incarnation, now, run.not_after)?;
        if self.faults.leaving {
            return Err(Refusal::Leaving);
        }
        let name = (run.id.clone(), run.attempt);
        if self.runs.contains_key(&name) || self.completed.iter().any(|(n, _)| *n == name) {
            return Err(Refusal::Voided);
        }
        if self.runs.len() >= self.slots as usize {
            return Err(Refusal::Full);
        }
        let (id, key) = (run.id.clone(), run.key.clone());
        let active = ActiveRun {
            key: key.clone(),
            until: now + run.run_ms,
            span: self.journal.runs.len(),
        };
        self.journal.runs.push(Span {
            id,
            key,
            from: recorded_at,
            until: None,
        });
        self.runs.insert(name, active);
        Ok(())
    }

    /// Completes a quick request and returns its answer; `None` if the run was voided meanwhile.
    pub fn end_run(&mut self, run: &Run, recorded_at: u64) -> Option<RunResult> {
        let name = (run.id.clone(), run.attempt);
        self.close_run(&name, recorded_at)?;
        let result = if self.faults.fails {
            Err("switched to fail".to_owned())
        } else {
            Ok(answer(run))
        };
        let ran = RunResult {
            id: run.id.clone(),
            attempt: run.attempt,
            result,
        };
        self.record_completed(name, Some(ran.clone()));
        Some(ran)
    }

    /// Ensures that an attempt at a quick request is not running and will not start; returns what
    /// became of it.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn void(&mut self, void: &Void, recorded_at: u64) -> Result<Voided, Refusal> {
        self.fence
            .admit(void.epoch, self.fence.incarnation(), 0, 0)?;
        let name = (void.id.clone(), void.attempt);
        if self.close_run(&name, recorded_at).is_some() {
            self.record_completed(name, None);
            return Ok(Voided::Stopped);
        }
        match self.completed.iter().find(|(n, _)| *n == name) {
            Some((_, Some(ran))) => Ok(Voided::Ended(ran.clone())),
            Some((_, None)) => Ok(Voided::Stopped),
            None => {
                self.record_completed(name, None);
                Ok(Voided::Never)
            }
        }
    }

    /// Starts a task.
    ///
    /// # Errors
    /// A [`Refusal`]: this attempt will never start.
    pub fn start(&mut self, start: &Start, now: Moment) -> Result<(), Refusal> {
        self.fence
            .admit(start.epoch, start.incarnation, now, start.not_after)?;
        if self.faults.leaving {
            return Err(Refusal::Leaving);
        }
        if !self.known_attempts.insert(start.task.id.clone()) {
            return Err(Refusal::Voided);
        }
        let id = &start.task.id;
        let name = format!("{}/{}/{}/{}", id.team, id.job, id.index, id.attempt);
        self.journal.starts.push(name);
        let expires = now + start.lease_ms;
        let running_task = ActiveTask {
            task: start.task.clone(),
            since: now,
            expires,
        };
        self.tasks.insert(start.task.id.clone(), running_task);
        let total: Size = self.tasks.values().map(|h| h.task.size).sum();
        // Overload is recorded rather than refused, so that tests detect an owner that assigns too
        // much.
        if !total.fits(self.size) {
            self.journal.over += 1;
        }
        Ok(())
    }

    /// Stops a task, with a checkpoint of its work if requested; `None` if it was not running. A
    /// later start of the same attempt is refused.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn stop(&mut self, stop: &Stop, now: Moment) -> Result<Option<Stopped>, Refusal> {
        self.fence
            .admit(stop.epoch, self.fence.incarnation(), 0, 0)?;
        self.known_attempts.insert(stop.task.clone());
        let Some(running_task) = self.tasks.remove(&stop.task) else {
            return Ok(None);
        };
        let done = running_task.task.saved_ms + (now - running_task.since);
        Ok(Some(Stopped {
            saved_ms: if stop.checkpoint { done } else { 0 },
        }))
    }

    /// Limits the usage of all tasks to their declared size.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn throttle(&mut self, throttle: &Throttle) -> Result<(), Refusal> {
        self.fence
            .admit(throttle.epoch, self.fence.incarnation(), 0, 0)?;
        self.faults.usage_percent = self.faults.usage_percent.min(100);
        Ok(())
    }

    /// Advances the time: ends tasks that have finished or failed, or whose lease has expired.
    pub fn tick(&mut self, now: Moment) {
        let fails = self.faults.fails;
        let end_state = |running_task: &ActiveTask| {
            let worked_ms = running_task.task.saved_ms + (now - running_task.since);
            let has_end = running_task.task.shape != Shape::Service;
            if now >= running_task.expires {
                Some(AttemptState::Lost)
            } else if fails {
                Some(AttemptState::Failed)
            } else if has_end && worked_ms >= running_task.task.run_ms {
                Some(AttemptState::Finished)
            } else {
                None
            }
        };
        let done: Vec<(TaskId, AttemptState)> = self
            .tasks
            .iter()
            .filter_map(|(id, h)| Some((id.clone(), end_state(h)?)))
            .collect();
        for (task, state) in done {
            if let Some(running_task) = self.tasks.remove(&task) {
                self.ended.push(EndedTask {
                    task,
                    home: running_task.task.home,
                    state,
                });
            }
        }
    }

    /// Duration of a run: `N` ms if the body contains `work_ms=N`, otherwise 2 ms; at most
    /// `run_ms`.
    #[must_use]
    pub fn run_duration(run: &Run) -> Duration {
        let text = String::from_utf8_lossy(&run.body.0);
        let requested = text.split("work_ms=").nth(1).and_then(|rest| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        Duration::from_millis(requested.unwrap_or(2).min(run.run_ms))
    }

    fn report(&self, now: Moment) -> Report {
        let percent = match self.faults.usage_percent {
            0 => DEFAULT_USAGE_PERCENT,
            p => u64::from(p),
        };
        let running = |running_task: &ActiveTask| {
            let size = running_task.task.size;
            let measured = now.saturating_sub(running_task.since) >= USAGE_LAG;
            let percent = if measured { percent } else { 0 };
            let usage = Size::new(
                size.millicores * percent / 100,
                size.memory_mib * percent / 100,
                size.accelerators,
            );
            RunningTask {
                task: running_task.task.clone(),
                usage,
            }
        };
        let occupied = |a: &ActiveRun| OccupiedKey {
            key: a.key.clone(),
            until: a.until,
        };
        Report {
            clock: now,
            leaving: self.faults.leaving,
            tasks: self.tasks.values().map(running).collect(),
            ended: self.ended.clone(),
            runs: self.runs.values().map(occupied).collect(),
        }
    }

    fn close_run(&mut self, name: &(String, u64), recorded_at: u64) -> Option<()> {
        let active = self.runs.remove(name)?;
        if let Some(span) = self.journal.runs.get_mut(active.span) {
            span.until = Some(recorded_at);
        }
        Some(())
    }

    fn record_completed(&mut self, name: (String, u64), ran: Option<RunResult>) {
        self.completed.push_back((name, ran));
        if self.completed.len() > MAX_COMPLETED_RUNS {
            self.completed.pop_front();
        }
    }
}

/// The answer contains id and key of the request, so that tests detect answers to other requests.
fn answer(run: &Run) -> Body {
    let text = String::from_utf8_lossy(&run.body.0);
    Body(format!("{} {} {text}", run.id, run.key).into_bytes())
}
