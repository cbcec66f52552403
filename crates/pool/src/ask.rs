//! When the advisor is asked about a step.

use std::hash::BuildHasher as _;
use std::sync::Arc;

use rustc_hash::FxBuildHasher;

use crate::advice::{self, Choice, Wanted, choose};
use crate::fit;
use crate::job::{AdvisorPolicy, Job, Step};
use crate::mechanism::Mechanism;
use crate::order::{Ask, Order};
use crate::place::TICKET_SLACK;
use crate::pool::Pool;
use crate::rank::Rank;
use crate::task::{Ms, StageKey, WorkerId};

/// Share of the questions that may be under way at once which questions ahead of need leave to others.
const LEFT_TO_OTHERS: usize = 2;
/// A step that was not asked about for this long may be asked about out of turn, in milliseconds.
const OVERDUE_MS: Ms = 1_000;
/// One in this many questions may be asked out of turn.
const OVERDUE_SHARE: usize = 4;
/// A plan looks at this many steps at most for a question out of turn, of those that last and of the others. Where there is no
/// room, looks are in vain, and thousands of steps may wait.
const OVERDUE_LOOKS: usize = 32;

impl Pool {
    /// Asks about steps out of turn that have long waited for it: those that last first, then those that waited longest.
    ///
    /// Answers the load in which work that goes first takes all of the advisor's time while most of the room is free. Asked by
    /// rank alone, other work waited as long as that went on.
    pub(crate) fn ask_overdue(&mut self, now: Ms, order: &[(Rank, StageKey)]) {
        if !self.may_ask_out_of_turn() {
            return;
        }
        let mut overdue: Vec<_> = order
            .iter()
            .filter_map(|(_, key)| {
                let since = self.unasked_since(now, key)?;
                (since + OVERDUE_MS <= now).then_some((since, key))
            })
            .collect();
        overdue.sort();
        let lasts = |key: &StageKey| {
            let live = self.jobs.get(&key.job);
            live.is_some_and(|live| live.job.is_long_running())
        };
        let (lasting, others): (Vec<_>, Vec<_>) =
            overdue.into_iter().partition(|(_, key)| lasts(key));
        let turn = self.overdue_looks;
        self.overdue_looks += OVERDUE_LOOKS;
        for (_, key) in in_turn(lasting, turn).chain(in_turn(others, turn)) {
            if !self.may_ask_out_of_turn() {
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
            let need = stage.tasks.iter().filter(|task| task.waits(now)).count();
            self.ask(now, key, &job, step, need as u32);
            if self.asking.contains(key) {
                self.overdue.insert(key.clone());
            }
        }
    }

    fn may_ask_out_of_turn(&self) -> bool {
        let most = self.options.askers / OVERDUE_SHARE;
        if most > 0 {
            self.overdue.len() < most
        } else {
            self.questions.is_multiple_of(OVERDUE_SHARE)
        }
    }

    /// Since when a step waits to be asked about; `None` if it doesn't: it has an advisor's ticket, or needs none.
    fn unasked_since(&self, now: Ms, key: &StageKey) -> Option<Ms> {
        self.jobs.get(&key.job)?.job.policy.advice?;
        let stage = self.stage(key)?;
        let mut tickets = stage.advised.allowed.values();
        if stage.advised.query_since.is_some()
            || tickets.any(|it| it.valid_until > now + TICKET_SLACK)
        {
            return None;
        }
        stage.opened.max(stage.advised.last_query)
    }

    /// Asks the advisor about workers with room for tasks that could not be placed.
    pub(crate) fn ask(&mut self, now: Ms, key: &StageKey, job: &Job, step: &Step, need: u32) {
        let Some(advice) = job.policy.advice else {
            return;
        };
        if self.asking.len() >= self.options.askers || self.asks_not(now, key) {
            return;
        }
        let choices = self.choices(now, key, job, step, need);
        if choices.iter().all(|choice| choice.fits == 0) {
            return;
        }
        let yes = self.learned.yes(&job.queue);
        let need = if self.has(Mechanism::AdviceShare) {
            need
        } else {
            u32::MAX
        };
        let wanted = Wanted {
            need,
            yes,
            most: self.options.ask_most,
            cheap: self.cheap(&advice),
            seed: FxBuildHasher.hash_one(key),
        };
        let workers = choose(&wanted, &choices);
        self.send_question(now, key, advice, workers);
    }

    /// Asks about a step for which no worker has room yet, if the advisor has time: with the answer and a ticket at hand, the
    /// next room that is free is used at once. Without that it stood idle for as long as a question takes.
    pub(crate) fn ask_ahead(&mut self, now: Ms, key: &StageKey, job: &Job, step: &Step) {
        let Some(advice) = job.policy.advice else {
            return;
        };
        if !self.has(Mechanism::AdviceAhead) {
            return;
        }
        let most = self.options.askers / LEFT_TO_OTHERS;
        if self.asking.len() >= most || self.asks_not(now, key) {
            return;
        }
        let Some(stage) = self.stage(key) else { return };
        let cheap = self.cheap(&advice).max(1);
        let takes = advice::takes(&advice, cheap);
        let lasts = |until: Ms| until > now + takes + TICKET_SLACK;
        if stage
            .advised
            .allowed
            .values()
            .any(|it| lasts(it.valid_until))
        {
            return;
        }
        let choices = self.choices(now, key, job, step, step.count);
        let wanted = Wanted {
            need: 0,
            yes: 1.0,
            most: self.options.ask_most,
            cheap,
            seed: FxBuildHasher.hash_one(key),
        };
        let workers = choose(&wanted, &choices);
        self.send_question(now, key, advice, workers);
    }

    /// How many workers a question names in any case.
    fn cheap(&self, advice: &AdvisorPolicy) -> usize {
        if self.has(Mechanism::AdviceCheap) {
            advice::cheap(advice)
        } else {
            0
        }
    }

    /// Whether no question about the step can be asked now.
    fn asks_not(&self, now: Ms, key: &StageKey) -> bool {
        self.stage(key).is_none_or(|stage| {
            stage.advised.query_since.is_some() || stage.advised.no_query_before > now
        })
    }

    /// Workers that may be asked about.
    fn choices(&self, now: Ms, key: &StageKey, job: &Job, step: &Step, need: u32) -> Vec<Choice> {
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let same = stage.spread();
        let mut choices = Vec::new();
        for worker in self.workers.values() {
            if !fit::allowed(worker, &job.service, step)
                || !worker.accepts_starts(now)
                || stage.advised.denied.contains(&worker.id)
            {
                continue;
            }
            let ticket = stage.advised.allowed.get(&worker.id);
            if ticket.is_some_and(|ticket| {
                ticket.valid_until > now + TICKET_SLACK && ticket.incarnation == worker.incarnation
            }) {
                continue;
            }
            let here = same.get(&worker.id).copied().unwrap_or(0);
            let most = if step.per_worker > 0 {
                step.per_worker.saturating_sub(here)
            } else {
                need
            };
            if most == 0 || fit::times(step.demand(), worker.info.capacity) == 0 {
                continue;
            }
            choices.push(Choice {
                worker: Arc::clone(&worker.id),
                fits: fit::times(step.demand(), worker.free_capacity()).min(most),
                known: ticket.is_some(),
            });
        }
        choices
    }

    fn send_question(
        &mut self,
        now: Ms,
        key: &StageKey,
        advice: AdvisorPolicy,
        workers: Vec<WorkerId>,
    ) {
        if workers.is_empty() {
            return;
        }
        let takes = advice::takes(&advice, workers.len());
        self.asking.insert(key.clone());
        self.questions += 1;
        if let Some(stage) = self.stage_mut(key) {
            stage.advised.query_since = Some(now);
            stage.advised.last_query = Some(now);
            stage.timeline.asked(now);
        }
        self.orders.push(Order::Ask(Ask {
            stage: key.clone(),
            workers,
            takes,
        }));
    }
}

/// As many of these as a plan looks at; if there are more, each has its turn in one of the next plans.
fn in_turn<T>(mut list: Vec<T>, turn: usize) -> impl Iterator<Item = T> {
    if list.len() > OVERDUE_LOOKS {
        let from = turn % list.len();
        list.rotate_left(from);
    }
    list.into_iter().take(OVERDUE_LOOKS)
}
