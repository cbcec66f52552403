//! One worker with its executor.

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

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mischief {
    /// It is leaving: it says so and takes nothing new.
    pub leaving: bool,
    /// It answers nothing.
    pub frozen: bool,
    /// It fails everything that it starts.
    pub fails: bool,
    /// It runs what it is asked and loses the answers.
    pub loses_answers: bool,
    /// Share of the declared size that tasks use, in percent; 0 leaves the usual.
    pub usage_percent: u32,
}

/// Runs that are remembered for [`Machine::void`].
const REMEMBERED: usize = 4_096;
/// Usual share of the declared size that tasks use, in percent.
const USAGE_PERCENT: u64 = 60;
/// Usage is reported this late, in milliseconds.
const USAGE_LAG: Moment = 2_000;

/// One worker; moments are passed in, in its own milliseconds.
#[derive(Debug)]
pub struct Machine {
    size: Size,
    slots: u32,
    slot: EpochFence,
    mischief: Mischief,
    tasks: BTreeMap<TaskId, Held>,
    ended: Vec<EndedTask>,
    seen: BTreeSet<TaskId>,
    runs: BTreeMap<(String, u64), Active>,
    past: VecDeque<((String, u64), Option<RunResult>)>,
    journal: Journal,
}

#[derive(Debug)]
struct Held {
    task: Task,
    since: Moment,
    expires: Moment,
}

#[derive(Debug)]
struct Active {
    key: String,
    until: Moment,
    span: usize,
}

impl Machine {
    /// A worker of this size, in this life.
    #[must_use]
    pub fn new(size: Size, slots: u32, incarnation: id::Incarnation) -> Self {
        Self {
            size,
            slots,
            slot: EpochFence::new(incarnation),
            mischief: Mischief::default(),
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            seen: BTreeSet::new(),
            runs: BTreeMap::new(),
            past: VecDeque::new(),
            journal: Journal::default(),
        }
    }

    /// Begins a new life: all but the journal is lost.
    pub fn restart(&mut self) {
        let journal = std::mem::take(&mut self.journal);
        let mischief = self.mischief;
        *self = Self::new(self.size, self.slots, self.slot.incarnation() + 1);
        self.journal = journal;
        self.mischief = mischief;
    }

    /// Sets how it misbehaves.
    pub const fn set(&mut self, mischief: Mischief) {
        self.mischief = mischief;
    }

    /// How it misbehaves.
    #[must_use]
    pub const fn mischief(&self) -> Mischief {
        self.mischief
    }

    /// Attempts at tasks that it runs.
    pub fn holds(&self) -> impl Iterator<Item = &TaskId> {
        self.tasks.keys()
    }

    /// What it did.
    #[must_use]
    pub const fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Its present life and owner.
    #[must_use]
    pub const fn hello(&self) -> Hello {
        Hello {
            incarnation: self.slot.incarnation(),
            epoch: self.slot.epoch(),
        }
    }

    /// Is taken over.
    ///
    /// # Errors
    /// As [`EpochFence::adopt`].
    pub fn adopt(&mut self, adopt: &Adopt, now: Moment) -> Result<Adopted, Refusal> {
        self.slot.adopt(adopt.epoch, adopt.incarnation)?;
        Ok(Adopted {
            size: self.size,
            slots: self.slots,
            report: self.report(now),
        })
    }

    /// Renews its leases and tells its state.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn pulse(&mut self, pulse: &Heartbeat, now: Moment) -> Result<Report, Refusal> {
        self.slot.admit(pulse.epoch, pulse.incarnation, 0, 0)?;
        self.tick(now);
        if pulse.lease_ms > 0 && now <= pulse.not_after {
            for held in self.tasks.values_mut() {
                held.expires = held.expires.max(now + pulse.lease_ms);
            }
        }
        self.ended
            .retain(|ended| !pulse.forget.contains(&ended.task));
        Ok(self.report(now))
    }

    /// Begins to run a quick request.
    ///
    /// # Errors
    /// A [`Refusal`], after which it will never run.
    pub fn begin(&mut self, run: &Run, now: Moment, wall: u64) -> Result<(), Refusal> {
        self.slot
            .admit(run.epoch, run.incarnation, now, run.not_after)?;
        if self.mischief.leaving {
            return Err(Refusal::Leaving);
        }
        let name = (run.id.clone(), run.attempt);
        if self.runs.contains_key(&name) || self.past.iter().any(|(n, _)| *n == name) {
            return Err(Refusal::Voided);
        }
        if self.runs.len() >= self.slots as usize {
            return Err(Refusal::Full);
        }
        let (id, key) = (run.id.clone(), run.key.clone());
        let active = Active {
            key: key.clone(),
            until: now + run.run_ms,
            span: self.journal.runs.len(),
        };
        self.journal.runs.push(Span {
            id,
            key,
            from: wall,
            until: None,
        });
        self.runs.insert(name, active);
        Ok(())
    }

    /// Ends a quick request with its answer; `None` if it was voided meanwhile.
    pub fn end(&mut self, run: &Run, wall: u64) -> Option<RunResult> {
        let name = (run.id.clone(), run.attempt);
        self.close(&name, wall)?;
        let result = if self.mischief.fails {
            Err("switched to fail".to_owned())
        } else {
            Ok(answer(run))
        };
        let ran = RunResult {
            id: run.id.clone(),
            attempt: run.attempt,
            result,
        };
        self.remember(name, Some(ran.clone()));
        Some(ran)
    }

    /// Makes sure that an attempt does not run (any more).
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn void(&mut self, void: &Void, wall: u64) -> Result<Voided, Refusal> {
        self.slot.admit(void.epoch, self.slot.incarnation(), 0, 0)?;
        let name = (void.id.clone(), void.attempt);
        if self.close(&name, wall).is_some() {
            self.remember(name, None);
            return Ok(Voided::Stopped);
        }
        match self.past.iter().find(|(n, _)| *n == name) {
            Some((_, Some(ran))) => Ok(Voided::Ended(ran.clone())),
            Some((_, None)) => Ok(Voided::Stopped),
            None => {
                self.remember(name, None);
                Ok(Voided::Never)
            }
        }
    }

    /// Starts a task.
    ///
    /// # Errors
    /// A [`Refusal`], after which it will never start.
    pub fn start(&mut self, start: &Start, now: Moment) -> Result<(), Refusal> {
        self.slot
            .admit(start.epoch, start.incarnation, now, start.not_after)?;
        if self.mischief.leaving {
            return Err(Refusal::Leaving);
        }
        if !self.seen.insert(start.task.id.clone()) {
            return Err(Refusal::Voided);
        }
        let id = &start.task.id;
        let name = format!("{}/{}/{}/{}", id.team, id.job, id.index, id.attempt);
        self.journal.starts.push(name);
        let expires = now + start.lease_ms;
        let held = Held {
            task: start.task.clone(),
            since: now,
            expires,
        };
        self.tasks.insert(start.task.id.clone(), held);
        let total: Size = self.tasks.values().map(|h| h.task.size).sum();
        // It could refuse; but then no test would see that an owner gave it too much.
        if !total.fits(self.size) {
            self.journal.over += 1;
        }
        Ok(())
    }

    /// Stops a task, saving its work if asked to.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn stop(&mut self, stop: &Stop, now: Moment) -> Result<Option<Stopped>, Refusal> {
        self.slot.admit(stop.epoch, self.slot.incarnation(), 0, 0)?;
        self.seen.insert(stop.task.clone());
        let Some(held) = self.tasks.remove(&stop.task) else {
            return Ok(None);
        };
        let done = held.task.saved_ms + (now - held.since);
        Ok(Some(Stopped {
            saved_ms: if stop.checkpoint { done } else { 0 },
        }))
    }

    /// Slows a task down.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] for another epoch.
    pub fn throttle(&mut self, throttle: &Throttle) -> Result<(), Refusal> {
        self.slot
            .admit(throttle.epoch, self.slot.incarnation(), 0, 0)?;
        self.mischief.usage_percent = self.mischief.usage_percent.min(100);
        Ok(())
    }

    /// Lets time pass: tasks finish, fail, or lose their leases; overlong runs are ended.
    pub fn tick(&mut self, now: Moment) {
        let fails = self.mischief.fails;
        let over = |held: &Held| {
            let worked = held.task.saved_ms + (now - held.since);
            let finishes = held.task.shape != Shape::Service;
            if now >= held.expires {
                Some(AttemptState::Lost)
            } else if fails {
                Some(AttemptState::Failed)
            } else if finishes && worked >= held.task.run_ms {
                Some(AttemptState::Finished)
            } else {
                None
            }
        };
        let done: Vec<(TaskId, AttemptState)> = self
            .tasks
            .iter()
            .filter_map(|(id, h)| Some((id.clone(), over(h)?)))
            .collect();
        for (task, state) in done {
            if let Some(held) = self.tasks.remove(&task) {
                self.ended.push(EndedTask {
                    task,
                    home: held.task.home,
                    state,
                });
            }
        }
    }

    /// How long a run takes: what its body asks for, if it says `work_ms=N`.
    #[must_use]
    pub fn work(run: &Run) -> Duration {
        let text = String::from_utf8_lossy(&run.body.0);
        let asked = text.split("work_ms=").nth(1).and_then(|rest| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        Duration::from_millis(asked.unwrap_or(2).min(run.run_ms))
    }

    fn report(&self, now: Moment) -> Report {
        let percent = match self.mischief.usage_percent {
            0 => USAGE_PERCENT,
            p => u64::from(p),
        };
        let running = |held: &Held| {
            let size = held.task.size;
            let shown = now.saturating_sub(held.since) >= USAGE_LAG;
            let percent = if shown { percent } else { 0 };
            let usage = Size::new(
                size.millicores * percent / 100,
                size.memory_mib * percent / 100,
                size.accelerators,
            );
            RunningTask {
                task: held.task.clone(),
                usage,
            }
        };
        let occupied = |a: &Active| OccupiedKey {
            key: a.key.clone(),
            until: a.until,
        };
        Report {
            clock: now,
            leaving: self.mischief.leaving,
            tasks: self.tasks.values().map(running).collect(),
            ended: self.ended.clone(),
            runs: self.runs.values().map(occupied).collect(),
        }
    }

    fn close(&mut self, name: &(String, u64), wall: u64) -> Option<()> {
        let active = self.runs.remove(name)?;
        if let Some(span) = self.journal.runs.get_mut(active.span) {
            span.until = Some(wall);
        }
        Some(())
    }

    fn remember(&mut self, name: (String, u64), ran: Option<RunResult>) {
        self.past.push_back((name, ran));
        if self.past.len() > REMEMBERED {
            self.past.pop_front();
        }
    }
}

/// The answer names the request, so that a caller can tell it from anybody else's.
fn answer(run: &Run) -> Body {
    let text = String::from_utf8_lossy(&run.body.0);
    Body(format!("{} {} {text}", run.id, run.key).into_bytes())
}
