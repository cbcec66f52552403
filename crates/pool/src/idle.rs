//! Open steps of which nothing runs and that placement doesn't consider, for the log.
//!
//! Each of them waits for something that has to come from outside of placement. One that stays is a fault: nothing will start it.

use std::cmp::Reverse;

use crate::live::{LiveJob, Stage};
use crate::pool::Pool;
use crate::task::{Ms, StageKey};

/// A step that has been idle for this long is reported.
const IDLE_AFTER: Ms = 3_000;

/// What keeps all steps of a job from starting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// Workers have listed ends of its runs before the job was known here, and must list them again; or they have more ends than they
    /// have listed, and the former owner may have started tasks of the job there.
    EndsUnread,
    /// The job is being transferred to another pool.
    Transfer,
    /// The former owner may have started tasks on workers that haven't reported to this owner.
    Inheritance,
    /// The store rejects the row with its progress.
    RowRejected,
}

impl Hold {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::EndsUnread => "ends_unread",
            Self::Transfer => "transfer",
            Self::Inheritance => "inheritance",
            Self::RowRejected => "row_rejected",
        }
    }
}

/// An open step of which nothing runs and that placement doesn't consider.
#[derive(Clone, Debug)]
pub struct IdleStep {
    /// The step.
    pub stage: StageKey,
    /// Whether its tasks form a gang.
    pub gang: bool,
    /// Number of its tasks.
    pub tasks: usize,
    /// Number of those that are done.
    pub done: usize,
    /// Number of those that could start if they were considered.
    pub startable: usize,
    /// For how long nothing of it has run, in milliseconds, as far as this owner knows.
    pub since: Ms,
    /// What holds the job back; `None` if nothing does.
    pub hold: Option<Hold>,
}

impl Pool {
    /// The idle steps, those that have been idle for the longest time first, at most `limit`.
    #[must_use]
    pub fn idle_steps(&self, now: Ms, limit: usize) -> Vec<IdleStep> {
        let mut idle: Vec<IdleStep> = self
            .open_steps
            .iter()
            .filter_map(|key| self.idle_step(now, key))
            .collect();
        idle.sort_by(|a, b| (Reverse(a.since), &a.stage).cmp(&(Reverse(b.since), &b.stage)));
        idle.truncate(limit);
        idle
    }

    /// What keeps all steps of a job from starting, if anything does.
    pub(crate) fn hold(&self, live: &LiveJob) -> Option<Hold> {
        if live.awaited_workers > 0 {
            return Some(Hold::EndsUnread);
        }
        if live.transferring {
            return Some(Hold::Transfer);
        }
        if self.rejected_rows.contains(&live.job.id) {
            return Some(Hold::RowRejected);
        }
        if live.inherited && self.may_have_unread_ends(&live.job) {
            return Some(Hold::EndsUnread);
        }
        let inherited = live.inherited && self.may_run_on_unconfirmed(&live.job);
        inherited.then_some(Hold::Inheritance)
    }

    fn idle_step(&self, now: Ms, key: &StageKey) -> Option<IdleStep> {
        let live = self.jobs.get(&key.job)?;
        let step = live.job.steps.get(usize::from(key.step))?;
        // A step that was complete before this owner loaded the job is among the open ones too.
        let stage = self.stage(key).filter(|stage| !stage.complete())?;
        let since = now.saturating_sub(stage.idle_since()?);
        let startable = stage.tasks.iter().filter(|it| it.is_startable(now)).count();
        let required = if step.gang { stage.tasks.len() } else { 1 };
        let hold = self.hold(live);
        let considered = hold.is_none() && startable >= required;
        (since >= IDLE_AFTER && !considered).then(|| IdleStep {
            stage: key.clone(),
            gang: step.gang,
            tasks: stage.tasks.len(),
            done: stage.done,
            startable,
            since,
            hold,
        })
    }
}

impl Stage {
    /// Since when none of its tasks has had a run under this owner; `None` if one has a run or the step isn't open.
    fn idle_since(&self) -> Option<Ms> {
        if self.tasks.iter().any(|task| task.run.is_some()) {
            return None;
        }
        let last_end = self.tasks.iter().map(|task| task.retry_at).max();
        Some(self.opened?.max(last_end.unwrap_or(0)))
    }
}
