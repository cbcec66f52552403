//! The scheduling pass: expires leases, resends commands and starts tasks.

use std::sync::Arc;

use crate::command::{Command, Start, Stop};
use crate::lapsed_lease::LeaseBasis;
use crate::live::LiveJob;
use crate::loss::Loss;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::repeat;
use crate::task::{Ms, Phase, TaskKey, WorkerId};
use crate::worker::Worker;

/// Time after which an unconfirmed stop is sent again.
const STOP_RETRY_DELAY: Ms = 400;
/// A start is resent only if at least this much time is left until its deadline.
const RESEND_MARGIN: Ms = 100;
/// Time after which a confirmed stop is sent again if the worker has not reported the end of the run.
const CONFIRMED_STOP_RETRY_DELAY: Ms = 1_500;

impl Pool {
    /// Runs one scheduling pass and returns the commands to send.
    pub fn schedule(&mut self, now: Ms, unix: u64) -> Vec<Command> {
        self.accounts.set_time(now);
        self.unix = unix;
        self.begin_occurrences(now, unix);
        self.expire_leases(now, unix);
        self.forget_workers(now);
        self.check_runs(now);
        self.resend_commands(now);
        self.stop_orphaned_runs(now);
        self.settle_inheritance(now);
        if !self.deposed && self.has_quorum(now) {
            self.review_suspects(now, unix);
            self.place_tasks(now);
        }
        std::mem::take(&mut self.commands)
    }

    /// When the next occurrence of any job is due, in Unix milliseconds.
    #[must_use]
    pub fn next_due(&self) -> Option<u64> {
        let due = |id| self.jobs.get(id).and_then(LiveJob::next_due);
        self.scheduled_jobs.iter().filter_map(due).min()
    }

    /// Ends the runs on workers whose lease has certainly expired.
    fn expire_leases(&mut self, now: Ms, unix: u64) {
        let expired: Vec<(WorkerId, Vec<TaskKey>)> = self
            .workers
            .values()
            .filter(|worker| {
                let affected = !worker.runs.is_empty()
                    || self.jobs_awaiting_worker.contains_key(&worker.id)
                    || self.partly_read_workers.contains_key(&worker.id);
                worker.lease_expires_at < now && affected
            })
            .map(|worker| {
                (
                    Arc::clone(&worker.id),
                    worker.runs.keys().cloned().collect(),
                )
            })
            .collect();
        for (id, keys) in expired {
            let worker = self.workers.get(&id);
            if worker.is_none_or(|worker| worker.is_unavailable(now)) {
                self.partly_read_workers.remove(&id);
            }
            // The end of the wait for any other worker is recorded where it ends.
            if worker.is_some_and(Worker::has_reported) {
                self.record_lapsed_lease(now, &id, LeaseBasis::Calls);
            }
            self.end_waits_for(&id);
            for key in &keys {
                self.record_loss(now, key, Loss::Lapsed);
            }
            for key in keys {
                self.end_current_run(now, &key, 0);
                self.complete_or_advance(now, unix, &key.stage.job, key.stage.occurrence);
            }
        }
        let lapsed = |worker: &&crate::Worker| {
            worker.lease_expires_at < now && !worker.orphaned_runs.is_empty()
        };
        let lapsed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(lapsed)
            .map(|worker| Arc::clone(&worker.id))
            .collect();
        for id in lapsed {
            self.remove_orphans(&id);
        }
    }

    /// Resends unanswered starts and sends stops for runs that are to be stopped.
    fn resend_commands(&mut self, now: Ms) {
        let keys: Vec<TaskKey> = self.unconfirmed_runs.iter().cloned().collect();
        let resend_enabled = self.has(Mechanism::RepeatOrders);
        for key in keys {
            let Some(live) = self.jobs.get(&key.stage.job) else {
                self.unconfirmed_runs.remove(&key);
                continue;
            };
            let job = Arc::clone(&live.job);
            let clock = |id: &WorkerId| self.workers.get(id).map_or(0, |worker| worker.clock(now));
            let Some(task) = live
                .open
                .get(&key.stage.occurrence)
                .and_then(|occurrence| occurrence.stages.get(usize::from(key.stage.step)))
                .and_then(|stage| stage.tasks.get(key.index as usize))
            else {
                self.unconfirmed_runs.remove(&key);
                continue;
            };
            let Some(run) = &task.run else {
                self.unconfirmed_runs.remove(&key);
                continue;
            };
            let since_stop = now.saturating_sub(run.stop_sent);
            let worker = self.workers.get(&run.worker);
            let response_time = worker.map_or(0, |worker| worker.response_time);
            let incarnation = worker.map_or(0, |worker| worker.incarnation);
            let command = match run.phase {
                Phase::Stopping => {
                    let retry_delay = if run.stop_confirmed > 0 {
                        CONFIRMED_STOP_RETRY_DELAY
                    } else {
                        STOP_RETRY_DELAY
                    };
                    (run.stop_sent == 0 || since_stop >= retry_delay).then(|| {
                        Command::Stop(Stop {
                            task: key.clone(),
                            run: run.number,
                            worker: Arc::clone(&run.worker),
                            incarnation,
                            reason: "the run is not wanted any more",
                        })
                    })
                }
                Phase::Starting | Phase::Unconfirmed
                    if resend_enabled
                        && task.crashes() == 0
                        && now.saturating_sub(run.last_sent)
                            >= repeat::delay(response_time, run.times_sent)
                        && clock(&run.worker) + RESEND_MARGIN < run.start_deadline
                        && self.retry_budget.spend() =>
                {
                    Some(Command::Start(Start {
                        task: key.clone(),
                        run: run.number,
                        worker: Arc::clone(&run.worker),
                        incarnation: run.incarnation,
                        start_deadline: run.start_deadline,
                        checkpoint: task.checkpoint.clone(),
                        ticket: self
                            .stage(&key.stage)
                            .and_then(|stage| stage.advised.allowed.get(&run.worker))
                            .map_or_else(String::new, |ticket| ticket.text.clone()),
                        job,
                        crashes: task.crashes(),
                    }))
                }
                _ => None,
            };
            let Some(command) = command else { continue };
            if let Some(run) = self.task_mut(&key).and_then(|task| task.run.as_mut()) {
                if run.phase == Phase::Stopping {
                    run.stop_sent = now.max(1);
                } else {
                    run.phase = Phase::Unconfirmed;
                    run.times_sent += 1;
                    run.last_sent = now;
                }
            }
            self.commands.push(command);
        }
    }
}
