//! Scheduling passes: which waiting tasks are sent to which rack.

use std::collections::BTreeMap;

use config::{Cell, PackingRule};
use policy::{Quota, QuotaStatus, Rule};
use resource::{Size, id};
use wire::{Band, Gang, Mode, PlaceRequest, Shape, Task, TaskId};

use super::job::TaskState;
use super::{Digests, JobKey, JobScheduler};

/// Maximum number of tasks placed in one pass, which keeps a pass short.
const MAX_TASKS_PER_PASS: usize = 512;
/// Number of jobs of one team that are still tried after the first that finds no capacity. Smaller
/// ones may use capacity that is too small for it, but not indefinitely: see
/// [`MAX_OVERTAKING_JOBS`].
const MAX_SKIPPED_JOBS: usize = 16;
/// A job is overtaken once more than this many jobs have arrived after it. An overtaken gang keeps
/// later jobs of its team from being placed before it.
const MAX_OVERTAKING_JOBS: u64 = 64;

/// Place requests that a scheduling pass has decided on.
#[derive(Clone, Debug, PartialEq)]
pub enum Dispatch {
    /// Start each of these tasks independently.
    Start(PlaceRequest),
    /// Hold capacity on all these racks, in this order; then start the whole gang, or release all
    /// of the holds.
    Gang {
        /// The gang.
        gang: Gang,
        /// One request per rack, sorted by rack name: two gangs that take racks in the same order
        /// can't deadlock.
        requests: Vec<PlaceRequest>,
    },
}

impl JobScheduler {
    /// Runs one scheduling pass. Urgent work goes first, then services, then the teams that use the
    /// smallest share of their quota.
    pub fn schedule(&mut self, cell: &Cell, digests: &mut Digests) -> Vec<Dispatch> {
        let mut used = self.usage();
        let mut requests: BTreeMap<id::Rack, Vec<Task>> = BTreeMap::new();
        let mut dispatches = Vec::new();
        let mut remaining = MAX_TASKS_PER_PASS;
        let mut skipped_by_team: BTreeMap<id::Team, usize> = BTreeMap::new();
        for name in self.scheduling_order(cell, &used) {
            let skipped = skipped_by_team.entry(name.0.clone()).or_default();
            if remaining == 0 || *skipped > MAX_SKIPPED_JOBS {
                continue;
            }
            let Some(tracked) = self.jobs.get(&name) else {
                continue;
            };
            let gang = tracked.job.shape == Shape::Gang;
            let team_used = &mut used.entry(name.0.clone()).or_default().0;
            let placed = if gang {
                let dispatch = self.place_gang(&name, cell, team_used, digests);
                let n = dispatch.as_ref().map_or(0, |_| 1);
                dispatches.extend(dispatch);
                n
            } else {
                let tasks = self.place_tasks(&name, cell, team_used, digests, remaining);
                let n = tasks.len();
                for (rack, task) in tasks {
                    requests.entry(rack).or_default().push(task);
                }
                n
            };
            remaining = remaining.saturating_sub(placed);
            if placed == 0 {
                *skipped += 1;
                if gang && self.is_overtaken(&name) {
                    *skipped = MAX_SKIPPED_JOBS + 1;
                }
            }
        }
        for (rack, tasks) in requests {
            let request = self.place_request(rack, Mode::Start, tasks, digests);
            dispatches.push(Dispatch::Start(request));
        }
        dispatches
    }

    fn place_request(
        &mut self,
        rack: id::Rack,
        mode: Mode,
        tasks: Vec<Task>,
        digests: &Digests,
    ) -> PlaceRequest {
        let crashes = |task: &Task| {
            let name = (task.id.team.clone(), task.id.job.clone());
            let tracked = self.jobs.get(&name);
            tracked.map_or(0, |tracked| tracked.crashes(task.id.index))
        };
        let mut crashes: Vec<u32> = tasks.iter().map(crashes).collect();
        if crashes.iter().all(|n| *n == 0) {
            crashes.clear();
        }
        PlaceRequest {
            epoch: digests.epoch(&rack),
            rack,
            from: self.next_serial(),
            mode,
            tasks,
            crashes,
        }
    }

    /// Jobs with waiting tasks, in the order in which they are tried.
    fn scheduling_order(
        &mut self,
        cell: &Cell,
        used: &BTreeMap<id::Team, (Size, u32)>,
    ) -> Vec<JobKey> {
        let jobs = &self.jobs;
        self.waiting.retain(|name| {
            jobs.get(name)
                .is_some_and(super::TrackedJob::has_waiting_tasks)
        });
        let share = |team: &str| {
            let quota = cell.team(team).map_or(Size::ZERO, |t| t.quota);
            used.get(team).map_or(0.0, |(used, _)| used.share(quota))
        };
        let by_size = cell.policy.batch == PackingRule::BestFit;
        let rank = |name: &JobKey| {
            let tracked = self.jobs.get(name)?;
            let class = match (tracked.job.urgent, tracked.job.shape) {
                (true, _) => 0,
                (false, Shape::Service) => 1,
                (false, Shape::Batch | Shape::Gang) => 2,
            };
            // Large tasks go first, since small ones fill the gaps between them. A job that many
            // others have overtaken goes before all of them, or it could wait indefinitely.
            let overtaken = self.arrivals > tracked.arrival + MAX_OVERTAKING_JOBS;
            let size = match class {
                2 if by_size && overtaken => f64::INFINITY,
                2 if by_size => tracked.job.size.share(cell.worker),
                _ => 0.0,
            };
            // A rack turns a task down that may have crashed its workers, although it has capacity.
            // In the next pass that capacity is offered to others first.
            let class = (tracked.turned_down, class);
            Some((class, share(&name.0), -size, tracked.arrival, name.clone()))
        };
        let mut ranked: Vec<_> = self.waiting.iter().filter_map(rank).collect();
        ranked.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        let order: Vec<JobKey> = ranked.into_iter().map(|(.., name)| name).collect();
        for name in &order {
            if let Some(tracked) = self.jobs.get_mut(name) {
                tracked.turned_down = false;
            }
        }
        order
    }

    fn is_overtaken(&self, name: &JobKey) -> bool {
        self.jobs
            .get(name)
            .is_some_and(|tracked| self.arrivals > tracked.arrival + MAX_OVERTAKING_JOBS)
    }

    fn place_tasks(
        &mut self,
        name: &JobKey,
        cell: &Cell,
        used: &mut Size,
        digests: &mut Digests,
        max_tasks: usize,
    ) -> Vec<(id::Rack, Task)> {
        let mut tasks = Vec::new();
        while tasks.len() < max_tasks {
            let Some((index, saved_ms)) = self.first_waiting(name) else {
                break;
            };
            let Some(band) = self.band(name, cell, *used) else {
                break;
            };
            let Some(tracked) = self.jobs.get(name) else {
                break;
            };
            let (size, shape) = (tracked.job.size, tracked.job.shape);
            let rule = rule(shape, cell);
            let rack = digests.reserve(rule, size).cloned().or_else(|| {
                (band > Band::Borrowed)
                    .then(|| digests.reserve_preemptible(size, band))
                    .flatten()
            });
            let Some(rack) = rack else {
                break;
            };
            *used = used.plus(size);
            let attempt = self.next_attempt();
            if let Some(task) = self.assign(name, index, &rack, attempt, band, saved_ms) {
                tasks.push((rack, task));
            }
        }
        tasks
    }

    fn place_gang(
        &mut self,
        name: &JobKey,
        cell: &Cell,
        used: &mut Size,
        digests: &mut Digests,
    ) -> Option<Dispatch> {
        let tracked = self.jobs.get_mut(name)?;
        let all_waiting = tracked
            .tasks
            .iter()
            .all(|task| matches!(task, TaskState::Waiting { .. }));
        if tracked.has_broken_gang() && !tracked.racks().is_empty() || !all_waiting {
            return None;
        }
        tracked.clear_broken_gang();
        let (size, total, n) = (tracked.job.size, tracked.job.total(), tracked.job.tasks);
        let quota = quota(cell, &name.0, *used);
        let band = match quota.status_with(total) {
            QuotaStatus::Within if tracked.job.urgent => Band::Urgent,
            QuotaStatus::Within => Band::Normal,
            QuotaStatus::Borrowing => Band::Borrowed,
            QuotaStatus::Exceeded => return None,
        };
        let mut trial = digests.clone();
        let rack = |_| trial.reserve(Rule::BestFit, size).cloned();
        let racks: Vec<id::Rack> = (0..n).map(rack).collect::<Option<_>>()?;
        *digests = trial;
        *used = used.plus(total);
        let attempt = self.next_attempt();
        let mut by_rack: BTreeMap<id::Rack, Vec<Task>> = BTreeMap::new();
        for (index, rack) in (0..n).zip(racks) {
            let task = self.assign(name, index, &rack, attempt, band, 0)?;
            by_rack.entry(rack).or_default().push(task);
        }
        let gang = Gang {
            team: name.0.clone(),
            job: name.1.clone(),
            attempt,
        };
        let requests = by_rack
            .into_iter()
            .map(|(rack, tasks)| self.place_request(rack, Mode::Hold, tasks, digests))
            .collect();
        Some(Dispatch::Gang { gang, requests })
    }

    /// Band of one more task of a job; `None` if the task must wait.
    fn band(&self, name: &JobKey, cell: &Cell, used: Size) -> Option<Band> {
        let job = &self.jobs.get(name)?.job;
        let quota_status = quota(cell, &name.0, used).status_with(job.size);
        match (quota_status, job.shape) {
            (QuotaStatus::Within, _) if job.urgent => Some(Band::Urgent),
            (QuotaStatus::Within, Shape::Service) => Some(Band::Standing),
            (QuotaStatus::Within, _) => Some(Band::Normal),
            (QuotaStatus::Borrowing, Shape::Batch) => Some(Band::Borrowed),
            // Services are never preempted, so they can't run on borrowed capacity, which may be
            // reclaimed.
            (QuotaStatus::Borrowing | QuotaStatus::Exceeded, _) => None,
        }
    }

    fn first_waiting(&mut self, name: &JobKey) -> Option<(u32, u64)> {
        let tracked = self.jobs.get_mut(name)?;
        while let Some(&index) = tracked.queue.front() {
            if let Some(TaskState::Waiting { saved_ms }) = tracked.tasks.get(index as usize) {
                return Some((index, *saved_ms));
            }
            tracked.queue.pop_front();
        }
        None
    }

    fn assign(
        &mut self,
        name: &JobKey,
        index: u32,
        rack: &str,
        attempt: u64,
        band: Band,
        saved_ms: u64,
    ) -> Option<Task> {
        let home = self.home.clone();
        let running = false;
        *self.task_state(name, index)? = TaskState::Placed {
            rack: rack.to_owned(),
            attempt,
            band,
            running,
            saved_ms,
        };
        let tracked = self.jobs.get_mut(name)?;
        if tracked.queue.front() == Some(&index) {
            tracked.queue.pop_front();
        }
        let job = &tracked.job;
        let id = TaskId {
            team: job.team.clone(),
            job: job.id.clone(),
            index,
            attempt,
        };
        let (shape, size, run_ms) = (job.shape, job.size, job.run_ms);
        Some(Task {
            id,
            shape,
            band,
            size,
            run_ms,
            home,
            saved_ms,
        })
    }
}

fn quota(cell: &Cell, team: &str, used: Size) -> Quota {
    let team = cell.team(team);
    let quota = team.map_or(Size::ZERO, |t| t.quota);
    Quota {
        quota,
        used,
        borrow: team.is_some_and(|t| t.borrow),
    }
}

fn rule(shape: Shape, cell: &Cell) -> Rule {
    match shape {
        Shape::Service => Rule::Spread,
        Shape::Batch => cell.policy.batch.into(),
        Shape::Gang => Rule::BestFit,
    }
}
