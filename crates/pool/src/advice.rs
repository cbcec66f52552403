//! Which workers to ask the advisor about.
//!
//! Answers the load in which the advisor is scarce: a question costs a fixed time and a further time for each worker
//! named. Naming too few means a second question with its fixed time; naming all costs the further time for nothing.
//! So as many are named as give room for what waits with the share of yes that was seen, and a third more; and always as
//! many as add little to the fixed time. Answers about a step never change, so what was asked too early is of use later.

use std::cmp::Reverse;
use std::hash::BuildHasher as _;

use rustc_hash::FxBuildHasher;

use crate::job::AdvisorPolicy;
use crate::task::{Ms, WorkerId};

/// A worker that could be asked about.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub worker: WorkerId,
    /// How many of the waiting tasks it has room for now.
    pub fits: u32,
    /// It was allowed before, and only its ticket ran out.
    pub known: bool,
}

/// Spare beyond what the observed share of yes demands. The share varies from step to step by about a third.
const SPARE: f64 = 1.35;

/// Share of the fixed time of a question that further workers may add to it without need.
const CHEAP: f64 = 0.25;

/// How many workers may be named in any case: together they add little to the fixed time of a question.
#[must_use]
pub fn cheap(advice: &AdvisorPolicy) -> usize {
    if advice.per_worker_ms > 0.0 {
        (advice.base_ms * CHEAP / advice.per_worker_ms) as usize
    } else {
        usize::MAX
    }
}

/// Time that a question about this many workers takes.
#[must_use]
pub fn takes(advice: &AdvisorPolicy, workers: usize) -> Ms {
    (advice.base_ms + advice.per_worker_ms * workers as f64) as Ms
}

/// What a question is for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// How many tasks wait.
    pub need: u32,
    /// Share of workers that are allowed, as seen so far.
    pub yes: f64,
    /// Most workers in the question.
    pub most: usize,
    /// Least workers in the question, if there are so many.
    pub cheap: usize,
    /// Differs from step to step: of workers that are as good, each step asks about others.
    pub seed: u64,
}

impl Wanted {
    /// For how many tasks a worker should have room, so that the least question is enough.
    fn each(&self) -> u32 {
        let allowed = (self.cheap as f64 * self.yes).max(1.0);
        let each = f64::from(self.need) * SPARE / allowed;
        each.ceil().max(1.0) as u32
    }

    fn draw(&self, worker: &WorkerId) -> u64 {
        FxBuildHasher.hash_one((self.seed, worker))
    }
}

/// Chooses whom to ask about: those that were allowed before and have room first, then those with room for as many tasks as
/// each should take; among equals by chance. Steps are asked about at the same time, and if all named the workers with most
/// room, they would get the same answers, and all but the first would find that room taken.
///
/// ```
/// use pool::advice::{Choice, Wanted, choose};
///
/// let all: Vec<Choice> = (0..40)
///     .map(|at| Choice { worker: format!("w{at}").into(), fits: 2, known: false })
///     .collect();
/// let wanted = Wanted { need: 4, yes: 0.5, most: 30, cheap: 0, seed: 1 };
/// assert_eq!(choose(&wanted, &all).len(), 6);
/// assert_eq!(choose(&Wanted { cheap: 17, ..wanted }, &all).len(), 17);
/// ```
#[must_use]
pub fn choose(wanted: &Wanted, choices: &[Choice]) -> Vec<WorkerId> {
    let each = wanted.each();
    let mut order: Vec<&Choice> = choices.iter().collect();
    order.sort_by_cached_key(|choice| {
        let fits = choice.fits.min(each);
        let known = choice.known && fits > 0;
        Reverse((known, fits, choice.known, wanted.draw(&choice.worker)))
    });
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for choice in order {
        let enough = expected >= f64::from(wanted.need) * SPARE || choice.fits == 0;
        if chosen.len() >= wanted.most || enough && chosen.len() >= wanted.cheap {
            break;
        }
        let yes = if choice.known { 1.0 } else { wanted.yes };
        expected += f64::from(choice.fits.min(wanted.need)) * yes;
        chosen.push(choice.worker.clone());
    }
    chosen
}
