//! When the advisor is queried about a step.

use std::hash::BuildHasher as _;
use std::sync::Arc;

use resource::Size;
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::advice::{self, Candidate, Requirements, choose_workers};
use crate::command::{AdvisorQuery, Command};
use crate::fit;
use crate::job::{AdvisorPolicy, Job, Step};
use crate::mechanism::Mechanism;
use crate::place::TICKET_MARGIN;
use crate::pool::Pool;
use crate::quota::QuotaPass;
use crate::rank::Rank;
use crate::service_capacity::ServiceCapacity;
use crate::task::{Ms, StageKey, WorkerId};

/// Queries ahead of need may take only one in this many of the queries that may be in flight at once.
const AHEAD_DIVISOR: usize = 2;
/// A query about a step that has waited this long for one may be sent out of rank order.
const OVERDUE_AFTER: Ms = 1_000;
/// One in this many queries may be sent out of rank order.
const OVERDUE_DIVISOR: usize = 4;
/// Maximum number of steps that a scheduling pass considers for a query out of rank order, of long-running and of other
/// jobs each. Without free capacity no query results, and thousands of steps may be waiting.
const MAX_OVERDUE_CANDIDATES: usize = 32;

impl Pool {
    /// Queries the advisor, out of rank order, about steps that have waited too long for a query: those of long-running
    /// jobs first, then those that have waited longest.
    ///
    /// Highly ranked work can take all of the advisor's time while most of the capacity is free. If queries followed the
    /// ranks alone, other work would wait for as long as that lasts.
    pub(crate) fn query_overdue(
        &mut self,
        now: Ms,
        ranked: &[(Rank, StageKey)],
        quota: &QuotaPass,
        capacities: &FxHashMap<String, ServiceCapacity>,
    ) {
        if !self.may_query_overdue() {
            return;
        }
        let mut overdue: Vec<_> = ranked
            .iter()
            .filter_map(|(_, key)| {
                let since = self.awaiting_query_since(now, key)?;
                (since + OVERDUE_AFTER <= now).then_some((since, key))
            })
            .collect();
        overdue.sort();
        let is_long_running = |key: &StageKey| {
            let live = self.jobs.get(&key.job);
            live.is_some_and(|live| live.job.is_long_running())
        };
        let (long_running, others): (Vec<_>, Vec<_>) = overdue
            .into_iter()
            .partition(|(_, key)| is_long_running(key));
        let start = self.overdue_considered;
        self.overdue_considered += MAX_OVERDUE_CANDIDATES;
        for (_, key) in rotated(long_running, start).chain(rotated(others, start)) {
            if !self.may_query_overdue() {
                return;
            }
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            let job = Arc::clone(&live.job);
            let (Some(step), Some(stage)) = (job.steps.get(usize::from(key.step)), self.stage(key))
            else {
                continue;
            };
            let waiting = stage
                .tasks
                .iter()
                .filter(|task| task.is_startable(now))
                .count();
            let allowed = self.startable_within_quota(quota, key, &job, step);
            if allowed == 0 {
                continue;
            }
            let capacity = capacities.get(&job.service).copied().unwrap_or_default();
            let tasks = allowed.min(waiting as u32);
            self.query_advisor(now, key, &job, step, tasks, capacity.largest_free);
            if self.open_queries.contains(key) {
                self.overdue_queries.insert(key.clone());
            }
        }
    }

    fn may_query_overdue(&self) -> bool {
        let max_queries = self.options.max_queries / OVERDUE_DIVISOR;
        if max_queries > 0 {
            self.overdue_queries.len() < max_queries
        } else {
            self.query_count.is_multiple_of(OVERDUE_DIVISOR)
        }
    }

    /// Since when a step has been waiting for a query; `None` if it isn't waiting, as it has a valid ticket, has a query in
    /// flight, or needs no ticket.
    fn awaiting_query_since(&self, now: Ms, key: &StageKey) -> Option<Ms> {
        self.jobs.get(&key.job)?.job.policy.advice?;
        let stage = self.stage(key)?;
        let mut tickets = stage.advised.allowed.values();
        if stage.advised.query_since.is_some()
            || tickets.any(|ticket| ticket.valid_until > now + TICKET_MARGIN)
        {
            return None;
        }
        stage.opened.max(stage.advised.last_query)
    }

    /// Queries the advisor about workers with free capacity for tasks that could not be placed. `largest_free` is the most free
    /// capacity of any worker, as in [`crate::service_capacity::ServiceCapacity::largest_free`].
    pub(crate) fn query_advisor(
        &mut self,
        now: Ms,
        key: &StageKey,
        job: &Job,
        step: &Step,
        tasks: u32,
        largest_free: Size,
    ) {
        let Some(policy) = job.policy.advice else {
            return;
        };
        if !step.demand().fits(largest_free) {
            return;
        }
        if self.open_queries.len() >= self.options.max_queries || self.is_query_blocked(now, key) {
            return;
        }
        let candidates = self.candidates(now, key, job, step, tasks);
        if candidates.iter().all(|candidate| candidate.fits == 0) {
            return;
        }
        let approval_rate = self.queue_stats.approval_rate(&job.queue);
        let tasks = if self.has(Mechanism::AdviceShare) {
            tasks
        } else {
            u32::MAX
        };
        let required = Requirements {
            tasks,
            approval_rate,
            max_workers: self.options.max_query_workers,
            min_workers: self.min_query_size(&policy),
            seed: FxBuildHasher.hash_one(key),
        };
        let workers = choose_workers(&required, &candidates);
        self.send_query(now, key, policy, workers);
    }

    /// Queries the advisor about a step before any worker has free capacity for it, if the advisor has time. With the answer
    /// and a ticket at hand, capacity is used as soon as it becomes free; otherwise it would stay idle for as long as a query
    /// takes.
    pub(crate) fn query_ahead(&mut self, now: Ms, key: &StageKey, job: &Job, step: &Step) {
        let Some(policy) = job.policy.advice else {
            return;
        };
        if !self.has(Mechanism::AdviceAhead) {
            return;
        }
        let max_queries = self.options.max_queries / AHEAD_DIVISOR;
        if self.open_queries.len() >= max_queries || self.is_query_blocked(now, key) {
            return;
        }
        let Some(stage) = self.stage(key) else { return };
        let min_workers = self.min_query_size(&policy).max(1);
        let duration = advice::query_duration(&policy, min_workers);
        let outlasts_query = |until: Ms| until > now + duration + TICKET_MARGIN;
        if stage
            .advised
            .allowed
            .values()
            .any(|ticket| outlasts_query(ticket.valid_until))
        {
            return;
        }
        let candidates = self.candidates(now, key, job, step, step.count);
        let required = Requirements {
            tasks: 0,
            approval_rate: 1.0,
            max_workers: self.options.max_query_workers,
            min_workers,
            seed: FxBuildHasher.hash_one(key),
        };
        let workers = choose_workers(&required, &candidates);
        self.send_query(now, key, policy, workers);
    }

    /// Number of workers that a query names in any case.
    fn min_query_size(&self, policy: &AdvisorPolicy) -> usize {
        if self.has(Mechanism::AdviceCheap) {
            advice::min_query_size(policy)
        } else {
            0
        }
    }

    /// Whether a query about the step is in flight, or must not be sent yet after one that failed.
    fn is_query_blocked(&self, now: Ms, key: &StageKey) -> bool {
        self.stage(key).is_none_or(|stage| {
            stage.advised.query_since.is_some() || stage.advised.no_query_before > now
        })
    }

    /// Workers that a query may name: those that are eligible for the step and accept starts, that the advisor has not denied,
    /// and for which there is no valid ticket.
    fn candidates(
        &self,
        now: Ms,
        key: &StageKey,
        job: &Job,
        step: &Step,
        tasks: u32,
    ) -> Vec<Candidate> {
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let same_step = stage.runs_per_worker();
        let mut candidates = Vec::new();
        for worker in self.workers.values() {
            if !fit::is_eligible(worker, &job.service, step)
                || !worker.accepts_starts(now)
                || stage.advised.denied.contains(&worker.id)
            {
                continue;
            }
            let ticket = stage.advised.allowed.get(&worker.id);
            if ticket.is_some_and(|ticket| {
                ticket.valid_until > now + TICKET_MARGIN && ticket.incarnation == worker.incarnation
            }) {
                continue;
            }
            let here = same_step.get(&worker.id).copied().unwrap_or(0);
            let limit = if step.per_worker > 0 {
                step.per_worker.saturating_sub(here)
            } else {
                tasks
            };
            if limit == 0 || fit::count_fitting(step.demand(), worker.info.capacity) == 0 {
                continue;
            }
            candidates.push(Candidate {
                worker: Arc::clone(&worker.id),
                fits: fit::count_fitting(step.demand(), worker.free_capacity()).min(limit),
                allowed_before: ticket.is_some(),
            });
        }
        candidates
    }

    fn send_query(
        &mut self,
        now: Ms,
        key: &StageKey,
        policy: AdvisorPolicy,
        workers: Vec<WorkerId>,
    ) {
        if workers.is_empty() {
            return;
        }
        let expected_duration = advice::query_duration(&policy, workers.len());
        self.open_queries.insert(key.clone());
        self.query_count += 1;
        if let Some(stage) = self.stage_mut(key) {
            stage.advised.query_since = Some(now);
            stage.advised.last_query = Some(now);
            stage.timeline.record_query(now);
        }
        self.commands.push(Command::Query(AdvisorQuery {
            stage: key.clone(),
            workers,
            expected_duration,
        }));
    }
}

/// The part of the list that one scheduling pass considers. If the list is longer, its start rotates from pass to pass, so
/// that each element is considered in one of them.
fn rotated<T>(mut list: Vec<T>, start: usize) -> impl Iterator<Item = T> {
    if list.len() > MAX_OVERDUE_CANDIDATES {
        let from = start % list.len();
        list.rotate_left(from);
    }
    list.into_iter().take(MAX_OVERDUE_CANDIDATES)
}
