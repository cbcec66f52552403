//! Quick requests: admission to the queue, and which request starts next.

use std::time::Duration;

use resource::id;
use wire::{Fault, Kind};

use super::Rack;
use crate::Now;
use crate::quick_queue::{Next, QuickRun, RunOutcome, Ticket};
use crate::worker_state::WorkerState;

/// Share of a request's remaining time that it may be expected to wait; the rest is for its run.
const MAX_WAIT_SHARE: f64 = 0.8;

/// Number of low bits of an attempt number that count attempts. The epoch is in the bits above, so
/// that no two owners assign the same number.
const ATTEMPT_BITS: u32 = 32;

impl Rack {
    /// Queues a request for a worker.
    ///
    /// # Errors
    /// A [`Fault`], at once, if the owner may not act or the request would wait in vain.
    pub fn enqueue(
        &mut self,
        rank: u8,
        key: &str,
        expires: Now,
        now: Now,
    ) -> Result<Ticket, Fault> {
        if !self.may_act(now) {
            let reason = "the rack's owner can't prove yet that it is the only one";
            return Err(Fault::new(Kind::NoAuthority, reason));
        }
        let slots = self.available_slots(now);
        if slots == 0 {
            return Err(Fault::new(
                Kind::NoWorker,
                "no worker of the rack takes work",
            ));
        }
        let wait = self.quick.expected_wait(slots);
        let max_wait = expires.saturating_sub(now).mul_f64(MAX_WAIT_SHARE);
        if self.quick.len() >= self.settings.max_queued || wait > max_wait {
            return Err(
                Fault::new(Kind::Busy, "the rack is busy").with_retry_after(retry_after(wait))
            );
        }
        Ok(self.quick.enqueue(rank, key, expires))
    }

    /// Removes a request from the queue; `false` if it was started or removed before.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.quick.withdraw(ticket)
    }

    /// Starts the next request, if one can start.
    pub fn start_next(&mut self, now: Now) -> Next {
        if !self.may_act(now) {
            return Next::Idle;
        }
        let Some(until) = self.authority.valid_until() else {
            return Next::Idle;
        };
        let Some(worker) = self.least_loaded_worker(now) else {
            return Next::Idle;
        };
        let Some((ticket, key, expires)) = self.quick.pop() else {
            return Next::Idle;
        };
        self.attempts += 1;
        let attempt = (self.epoch << ATTEMPT_BITS) | self.attempts;
        let start_deadline = until.min(expires);
        let Some(host) = self.hosts.get_mut(&worker) else {
            return Next::Idle;
        };
        Next::Start(start_run(
            host,
            worker,
            ticket,
            key,
            self.epoch,
            attempt,
            start_deadline,
        ))
    }

    /// Records that a started request has ended, or that its result is no longer awaited.
    pub fn finish(&mut self, run: &QuickRun, outcome: RunOutcome, took: Duration, now: Now) {
        // This owner has lost the rack and taken it again since the run began. Another run may be
        // using the key now, so the key must not be freed.
        if run.epoch < self.known_since {
            return;
        }
        let host = self
            .hosts
            .get_mut(&run.worker)
            .filter(|h| h.incarnation == run.incarnation);
        match outcome {
            RunOutcome::Known { failed } => {
                self.quick.release(&run.key, Some(took));
                if let Some(host) = host {
                    host.running = host.running.saturating_sub(1);
                    host.record_outcome(failed, now);
                }
            }
            RunOutcome::Refused => {
                self.quick.release(&run.key, None);
                if let Some(host) = host {
                    host.running = host.running.saturating_sub(1);
                }
            }
            RunOutcome::Unknown { max_run } => {
                // The run may still be going on at a worker that can't be reached. The key stays
                // blocked until the worker must have ended the run; otherwise the next request for
                // the same key would run at the same time as this one.
                let until = run.start_deadline + max_run + drift_allowance(max_run);
                self.quick.block_key(&run.key, until);
                if let Some(host) = host {
                    self.unresolved_runs
                        .push((until, run.worker.clone(), run.incarnation));
                    host.record_outcome(true, now);
                }
            }
        }
    }

    /// Frees slots and keys of runs that must have ended by now.
    pub(super) fn free_expired_runs(&mut self, now: Now) {
        self.quick.unblock_expired(now);
        let due: Vec<_> = self
            .unresolved_runs
            .extract_if(.., |(until, ..)| *until <= now)
            .collect();
        for (_, worker, incarnation) in due {
            let host = self
                .hosts
                .get_mut(&worker)
                .filter(|h| h.incarnation == incarnation);
            if let Some(host) = host {
                host.running = host.running.saturating_sub(1);
            }
        }
    }

    fn available_slots(&self, now: Now) -> u32 {
        self.hosts
            .values()
            .filter(|h| h.accepts_work(now))
            .map(|h| h.slots)
            .sum()
    }

    /// The worker with the smallest share of its slots in use.
    fn least_loaded_worker(&self, now: Now) -> Option<id::Worker> {
        let free = self
            .hosts
            .iter()
            .filter(|(_, h)| h.accepts_work(now) && h.running < h.slots);
        let share = |h: &WorkerState| h.running * 1_000 / h.slots.max(1);
        free.min_by_key(|(_, h)| share(h))
            .map(|(name, _)| name.clone())
    }
}

fn start_run(
    host: &mut WorkerState,
    worker: id::Worker,
    ticket: Ticket,
    key: String,
    epoch: id::Epoch,
    attempt: u64,
    start_deadline: Now,
) -> QuickRun {
    host.running += 1;
    host.work_sent();
    QuickRun {
        ticket,
        key,
        worker,
        incarnation: host.incarnation,
        address: host.address.clone(),
        epoch,
        attempt,
        not_after: host.earliest_moment(start_deadline),
        start_deadline,
    }
}

/// Allowance for clock drift over one run.
fn drift_allowance(run: Duration) -> Duration {
    run / 50 + Duration::from_millis(20)
}

/// When a rejected caller should retry: once most of the requests that wait now are done.
fn retry_after(wait: Duration) -> Duration {
    wait.max(Duration::from_millis(100))
}
