//! Finds the tasks that may have crashed their worker.
//!
//! A worker that restarts does not report which of its tasks was the cause, so each attempt that had only just begun there ends
//! as [`AttemptState::Lost`], which the owner of its job counts. A task with such losses is a suspect. Suspects of different
//! jobs are not started together: this separates the cause of a crash from its neighbours, which then run stably elsewhere.

use std::time::Duration;

use resource::id;
use wire::{AttemptState, PlaceRequest, TaskId};

use super::Rack;
use crate::Now;
use crate::attempt::{Attempt, AttemptPhase};
use crate::worker_state::WorkerState;

/// An attempt may be the cause of a restart only if the worker answered no call that was sent this
/// long or longer after the start command.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// For this long after a worker has restarted on its own, no further restart of it is attributed to
/// a task; nor one of any other worker of the rack, once [`MIN_OWN_RESTARTS`] of them have.
const OWN_RESTART_MEMORY: Duration = Duration::from_secs(60);
/// Number of workers of a rack that must have restarted on their own before a cause outside their
/// tasks is assumed for the restarts of all.
const MIN_OWN_RESTARTS: usize = 2;
/// While a task that may have crashed this many workers is within [`CRASH_WINDOW`], no task of
/// another job is started beside it. As the next crash fails its job, it is started only once it
/// has waited for [`QUIET_TIME`] in a rack that has been quiet for as long: otherwise a series of
/// restarts that goes from worker to worker could be taken for crashes that it causes.
const MIN_CRASHES_TO_ISOLATE: u32 = 2;
/// A rack is quiet if none of its workers has restarted for this long, except on its own.
const QUIET_TIME: Duration = Duration::from_secs(20);
/// A task that has waited for this long has gone elsewhere, or waits anew.
const LAST_TRY_MEMORY: Duration = Duration::from_secs(60);

/// The end of a worker's incarnation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// When the last call that the incarnation answered was sent.
    last_answer: Now,
    /// When the worker last restarted although nothing had been started there shortly before.
    pub(super) own: Option<Now>,
}

/// Team, job and index of a task.
pub(super) type TaskKey = (id::Team, id::Job, u32);

fn key(task: &TaskId) -> TaskKey {
    (task.team.clone(), task.job.clone(), task.index)
}

impl Attempt {
    /// State in which it ends when its worker has restarted.
    pub(super) fn state_after_restart(&self, host: &WorkerState, unsteady: bool) -> AttemptState {
        if !self.was_launched() {
            return AttemptState::NotStarted;
        }
        let leaving = host.listed_leaving || host.reports_leaving;
        if self.is_unproven(host.last_answer) && !leaving && !unsteady {
            AttemptState::Lost
        } else {
            AttemptState::Interrupted
        }
    }

    const fn was_launched(&self) -> bool {
        !matches!(
            self.phase,
            AttemptPhase::Held { .. } | AttemptPhase::Awaiting { .. }
        )
    }

    /// Whether a restart of its worker could still be attributed to it.
    fn is_unproven(&self, last_answer: Now) -> bool {
        match self.launched {
            Some(launched) => last_answer < launched + CRASH_WINDOW,
            None => !self.was_launched(),
        }
    }

    /// Whether its worker has been seen to survive it.
    fn is_stable(&self, last_answer: Now) -> bool {
        match (self.phase, self.launched) {
            (AttemptPhase::Running { since }, launched) => {
                last_answer >= launched.unwrap_or(since) + CRASH_WINDOW
            }
            _ => false,
        }
    }
}

impl Rack {
    /// Whether a task may be started on a worker now: a restart of the worker could be attributed
    /// to one job. Tasks of the same job need not be told apart.
    pub(super) fn may_start(
        &self,
        worker: &str,
        host: &WorkerState,
        task: &TaskId,
        crashes: u32,
        now: Now,
    ) -> bool {
        if crashes >= MIN_CRASHES_TO_ISOLATE {
            let asked = self.last_tries.get(&key(task));
            let waited = asked.is_some_and(|asked| now >= *asked + QUIET_TIME);
            if !waited || !self.is_quiet(now) {
                return false;
            }
        }
        let of_other_job = |t: &&Attempt| t.id().job != task.job || t.id().team != task.team;
        let unproven = self
            .tasks
            .values()
            .filter(|t| t.worker == worker && t.is_unproven(host.last_answer));
        !unproven.filter(of_other_job).any(|other| {
            let others = other.crashes.unwrap_or(0);
            others >= MIN_CRASHES_TO_ISOLATE || (others > 0 && crashes > 0)
        })
    }

    /// The restart of a worker whose tasks have not been removed yet.
    pub(super) fn restart(&self, worker: &str, host: &WorkerState) -> Restart {
        let mut on_worker = self.tasks.values().filter(|t| t.worker == worker);
        let attributable = on_worker.any(|t| t.was_launched() && t.is_unproven(host.last_answer));
        let last_answer = host.last_answer;
        let own = if attributable {
            host.own_restart
        } else {
            Some(last_answer)
        };
        Restart { last_answer, own }
    }

    /// Whether a worker that has restarted now may have done so whatever ran on it.
    pub(super) fn is_unsteady(&self, host: &WorkerState) -> bool {
        let recent = |restart| is_remembered(restart, host.last_answer);
        let running = self.hosts.values().map(|other| other.own_restart);
        let others = running.chain(self.restarted.values().map(|restart| restart.own));
        recent(host.own_restart)
            || others.filter(|restart| recent(*restart)).count() >= MIN_OWN_RESTARTS
    }

    /// Notes since when the tasks of a request wait whose next crash fails their job.
    pub(super) fn note_last_tries(&mut self, request: &PlaceRequest, now: Now) {
        self.last_tries
            .retain(|_, asked| now < *asked + LAST_TRY_MEMORY);
        for (task, crashes) in request.tasks_with_crashes() {
            if crashes >= MIN_CRASHES_TO_ISOLATE {
                self.last_tries.entry(key(&task.id)).or_insert(now);
            }
        }
    }

    fn is_quiet(&self, now: Now) -> bool {
        let restarted = |host: &WorkerState| {
            !is_remembered(host.own_restart, now)
                && host
                    .restarted_at
                    .is_some_and(|restart| now < restart + QUIET_TIME)
        };
        let gone = |restart: &Restart| {
            !is_remembered(restart.own, now) && now < restart.last_answer + QUIET_TIME
        };
        !self.hosts.values().any(restarted) && !self.restarted.values().any(gone)
    }

    /// Reports the attempts on a worker that have become stable, unless their tasks have crashed no
    /// worker before.
    pub(super) fn report_stable(&mut self, worker: &str) {
        let Some(host) = self.hosts.get(worker) else {
            return;
        };
        let last_answer = host.last_answer;
        let on_worker = self.tasks.values_mut().filter(|t| t.worker == worker);
        let stable = on_worker.filter(|t| t.crashes != Some(0) && t.is_stable(last_answer));
        let mut reports = Vec::new();
        for attempt in stable {
            attempt.crashes = Some(0);
            reports.push((attempt.task.home.clone(), attempt.id().clone()));
        }
        for (home, id) in reports {
            self.record_event(home, id, AttemptState::Stable);
        }
    }
}

/// Whether a worker that restarted on its own at a time is still expected to do so again.
fn is_remembered(own_restart: Option<Now>, now: Now) -> bool {
    own_restart.is_some_and(|restart| now < restart + OWN_RESTART_MEMORY)
}
