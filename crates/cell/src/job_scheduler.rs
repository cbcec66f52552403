//! Scheduling of the jobs whose home is one rack, done by the rack's owner.
//!
//! All jobs of a team have the same home rack, so a single owner knows what the team uses and
//! enforces its quota exactly. The durable state of a job is in its row ([`SavedJob`]). Which task
//! runs where is not stored: a new owner asks the owners of all racks
//! ([`JobScheduler::apply_inventory`]).

mod digests;
mod job;
mod schedule;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::Cell;
use resource::{Size, id};
use wire::{
    AttemptState, Event, Fault, Inventory, Job, Kind, Phase, PlaceReply, Placement, Shape, State,
};

pub use digests::Digests;
pub use job::SavedJob;
pub use schedule::Dispatch;

use crate::Now;
use job::{TaskState, TrackedJob};

/// Interval at which a rack is asked for its inventory while that is unknown, because a place
/// request was not answered or the rack has a new owner.
const INVENTORY_INTERVAL: Duration = Duration::from_secs(2);

/// Team and job.
type JobKey = (id::Team, id::Job);

/// The jobs whose home is one rack.
#[derive(Debug)]
pub struct JobScheduler {
    home: id::Rack,
    epoch: id::Epoch,
    jobs: BTreeMap<JobKey, TrackedJob>,
    arrivals: u64,
    attempts: u64,
    serial: u64,
    /// Racks whose inventory is unknown, and when each was last asked for it.
    unknown_racks: BTreeMap<id::Rack, Now>,
    dirty: BTreeSet<JobKey>,
    /// Jobs with waiting tasks; jobs without any are removed by the next scheduling pass.
    waiting: BTreeSet<JobKey>,
}

impl JobScheduler {
    /// A scheduler without jobs.
    #[must_use]
    pub const fn new(home: id::Rack, epoch: id::Epoch) -> Self {
        Self {
            home,
            epoch,
            jobs: BTreeMap::new(),
            arrivals: 0,
            attempts: 0,
            serial: 0,
            unknown_racks: BTreeMap::new(),
            dirty: BTreeSet::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Loads the jobs of an earlier owner from their rows. Which of their tasks run where is
    /// unknown until every rack has been asked.
    pub fn recover(&mut self, saved: impl IntoIterator<Item = SavedJob>, cell: &Cell, now: Now) {
        for saved in saved {
            let name = (saved.job.team.clone(), saved.job.id.clone());
            self.arrivals += 1;
            let tracked = TrackedJob::recovered(saved, self.arrivals);
            self.jobs.insert(name, tracked);
        }
        for rack in cell.racks.keys() {
            self.mark_unknown(rack, now);
        }
    }

    /// Adds a new job whose row has been written.
    pub fn submit(&mut self, job: Job) -> State {
        let name = (job.team.clone(), job.id.clone());
        self.arrivals += 1;
        let arrival = self.arrivals;
        let tracked = self
            .jobs
            .entry(name.clone())
            .or_insert_with(|| TrackedJob::new(job, arrival));
        let state = tracked.state();
        self.waiting.insert(name);
        state
    }

    /// Looks up a job that may have been submitted before.
    ///
    /// # Errors
    /// [`Kind::Conflict`] if a different job has this id.
    pub fn find(&self, job: &Job) -> Result<Option<State>, Fault> {
        match self.jobs.get(&(job.team.clone(), job.id.clone())) {
            None => Ok(None),
            Some(tracked) if tracked.job == *job => Ok(Some(tracked.state())),
            Some(_) => Err(Fault::new(Kind::Conflict, "another job has this id")),
        }
    }

    /// Current state of a job.
    #[must_use]
    pub fn state(&self, team: &str, job: &str) -> Option<State> {
        self.jobs
            .get(&(team.to_owned(), job.to_owned()))
            .map(TrackedJob::state)
    }

    /// Cancels a job, so that none of its tasks is started any more. Returns its state and the
    /// racks on which some of its tasks still run.
    pub fn cancel(&mut self, team: &str, job: &str) -> Option<(State, Vec<id::Rack>)> {
        let name = (team.to_owned(), job.to_owned());
        let tracked = self.jobs.get_mut(&name)?;
        if !tracked.phase.is_over() {
            tracked.phase = Phase::Cancelled;
            self.dirty.insert(name.clone());
        }
        self.waiting.remove(&name);
        Some((tracked.state(), tracked.racks()))
    }

    /// Racks on which tasks of ended jobs still run, with team and job.
    #[must_use]
    pub fn running_tasks_of_ended_jobs(&self) -> Vec<(id::Rack, id::Team, id::Job)> {
        let over = self.jobs.values().filter(|tracked| tracked.phase.is_over());
        let place = |tracked: &TrackedJob| {
            let (team, job) = (tracked.job.team.clone(), tracked.job.id.clone());
            tracked
                .racks()
                .into_iter()
                .map(move |rack| (rack, team.clone(), job.clone()))
        };
        over.flat_map(place).collect()
    }

    /// Applies the reply of a rack's owner to a place request.
    pub fn place_request_answered(&mut self, request: &wire::PlaceRequest, reply: &PlaceReply) {
        for (task, placement) in request.tasks.iter().zip(&reply.placements) {
            if *placement == Placement::Placed {
                continue;
            }
            let name = (task.id.team.clone(), task.id.job.clone());
            let Some(tracked) = self.jobs.get_mut(&name) else {
                continue;
            };
            if tracked.return_to_queue(task.id.index, task.id.attempt, task.saved_ms) {
                self.waiting.insert(name);
            }
        }
    }

    /// Marks a rack as unknown, because a place request was not answered or the rack has a new
    /// owner.
    pub fn mark_unknown(&mut self, rack: &str, now: Now) {
        self.unknown_racks
            .entry(rack.to_owned())
            .or_insert(now.saturating_sub(INVENTORY_INTERVAL));
    }

    /// Whether any rack is due to be asked for its inventory; if so, it counts as asked at `now`.
    pub fn inventory_due(&mut self, now: Now) -> bool {
        let mut due = false;
        for asked in self.unknown_racks.values_mut() {
            if now >= *asked + INVENTORY_INTERVAL {
                *asked = now;
                due = true;
            }
        }
        due
    }

    /// Applies the inventory that a rack's owner has sent.
    pub fn apply_inventory(&mut self, inventory: &Inventory) {
        if !self.unknown_racks.contains_key(&inventory.rack) {
            return;
        }
        for event in &inventory.unconfirmed {
            self.apply_event(event);
        }
        for holding in &inventory.holdings {
            let id = &holding.task;
            if let Some(tracked) = self.jobs.get_mut(&(id.team.clone(), id.job.clone())) {
                tracked.attempt_found(id.index, id.attempt, &inventory.rack);
            }
        }
        if !inventory.complete {
            return;
        }
        self.unknown_racks.remove(&inventory.rack);
        let all_known = self.unknown_racks.is_empty();
        let held = |index: u32, attempt: u64, job: &Job| {
            inventory.holdings.iter().any(|h| {
                h.task.index == index
                    && h.task.attempt == attempt
                    && h.task.job == job.id
                    && h.task.team == job.team
            })
        };
        for (name, tracked) in &mut self.jobs {
            tracked.end_missing_attempts(&inventory.rack, &held);
            if all_known {
                tracked.requeue_unknown_tasks();
            }
            if tracked.has_waiting_tasks() {
                self.waiting.insert(name.clone());
            }
        }
    }

    /// Applies an event of an attempt that a rack's owner has reported.
    pub fn apply_event(&mut self, event: &Event) {
        let id = &event.task;
        let name = (id.team.clone(), id.job.clone());
        let Some(tracked) = self.jobs.get_mut(&name) else {
            return;
        };
        match event.state {
            AttemptState::Running => tracked.attempt_running(id.index, id.attempt),
            AttemptState::Stable => tracked.attempt_stable(id.index, id.attempt),
            AttemptState::Finished => tracked.attempt_finished(id.index, id.attempt),
            state => tracked.attempt_ended(id.index, id.attempt, state),
        }
        if tracked.has_waiting_tasks() {
            self.waiting.insert(name.clone());
        }
        if !matches!(event.state, AttemptState::Running) {
            self.dirty.insert(name);
        }
    }

    /// Gangs of which a member has ended before its work was done. The remaining members must be
    /// stopped before the whole gang is started again.
    pub fn gangs_to_restart(&mut self) -> Vec<(wire::Gang, Vec<id::Rack>)> {
        let broken = self
            .jobs
            .values_mut()
            .filter(|tracked| tracked.job.shape == Shape::Gang);
        broken.filter_map(TrackedJob::gang_to_stop).collect()
    }

    /// Rows of the jobs that have changed since the last call.
    pub fn take_unsaved(&mut self) -> Vec<SavedJob> {
        let names = std::mem::take(&mut self.dirty);
        names
            .iter()
            .filter_map(|name| self.jobs.get(name))
            .map(TrackedJob::saved)
            .collect()
    }

    /// Marks a job as changed again after writing its row has failed.
    pub fn save_failed(&mut self, saved: &SavedJob) {
        self.dirty
            .insert((saved.job.team.clone(), saved.job.id.clone()));
    }

    /// Removes all but the last `keep` jobs that have ended and have nothing running. Returns the
    /// jobs whose rows can be deleted.
    pub fn remove_ended(&mut self, keep: usize) -> Vec<(id::Team, id::Job)> {
        let over = |tracked: &&TrackedJob| tracked.phase.is_over() && tracked.racks().is_empty();
        let mut done: Vec<(u64, JobKey)> = self
            .jobs
            .iter()
            .filter(|(name, tracked)| over(tracked) && !self.dirty.contains(*name))
            .map(|(name, tracked)| (tracked.arrival, name.clone()))
            .collect();
        done.sort();
        done.truncate(done.len().saturating_sub(keep));
        let names: Vec<JobKey> = done.into_iter().map(|(_, name)| name).collect();
        for name in &names {
            self.jobs.remove(name);
        }
        names
    }

    /// Used capacity and number of waiting tasks of each team whose home is this rack.
    #[must_use]
    pub fn usage(&self) -> BTreeMap<id::Team, (Size, u32)> {
        let mut usage: BTreeMap<id::Team, (Size, u32)> = BTreeMap::new();
        for tracked in self.jobs.values() {
            let (used, waiting) = usage.entry(tracked.job.team.clone()).or_default();
            *used = used.plus(tracked.used());
            *waiting += tracked.state().waiting;
        }
        usage
    }

    /// Identifies the next message of this owner.
    pub fn next_serial(&mut self) -> wire::FencingToken {
        self.serial += 1;
        wire::FencingToken {
            home: self.home.clone(),
            epoch: self.epoch,
            serial: self.serial,
        }
    }

    /// Number of the next attempt. The epoch is part of it, so that no other owner of the home rack
    /// assigns the same number.
    fn next_attempt(&mut self) -> u64 {
        const ATTEMPT_BITS: u32 = 32;
        self.attempts += 1;
        (self.epoch << ATTEMPT_BITS) | self.attempts
    }

    fn task_state(&mut self, name: &JobKey, index: u32) -> Option<&mut TaskState> {
        self.jobs.get_mut(name)?.tasks.get_mut(index as usize)
    }
}

fn admit(job: &Job, cell: &Cell) -> Result<(), Fault> {
    let Some(team) = cell.team(&job.team) else {
        return Err(Fault::new(
            Kind::UnknownTeam,
            format!("there is no team {:?}", job.team),
        ));
    };
    if job.urgent && !team.urgent {
        let reason = format!("team {:?} may not mark work as urgent", job.team);
        return Err(Fault::new(Kind::NotAllowed, reason));
    }
    if !job.size.fits(cell.worker) {
        return Err(Fault::new(
            Kind::NeverFits,
            "a task is larger than any worker",
        ));
    }
    let placed_together = matches!(job.shape, Shape::Gang | Shape::Service);
    if placed_together && !job.total().fits(cell.capacity()) {
        return Err(Fault::new(
            Kind::NeverFits,
            "all tasks together are larger than the cell",
        ));
    }
    let bound = policy::Quota {
        quota: team.quota,
        used: Size::ZERO,
        borrow: false,
    };
    let required = if job.shape == Shape::Service {
        job.total()
    } else {
        job.size
    };
    let over_quota = bound.status_with(required) != policy::QuotaStatus::Within;
    if over_quota && (job.shape == Shape::Service || !team.borrow) {
        let reason = format!("the quota of team {:?} never allows it", job.team);
        return Err(Fault::new(Kind::NeverFits, reason));
    }
    Ok(())
}

impl JobScheduler {
    /// Whether a job can ever run in this cell.
    ///
    /// # Errors
    /// [`Kind::UnknownTeam`], [`Kind::NotAllowed`] or [`Kind::NeverFits`], with the reason.
    pub fn admit(job: &Job, cell: &Cell) -> Result<(), Fault> {
        admit(job, cell)
    }
}
