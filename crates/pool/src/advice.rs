//! Which workers to ask the advisor about.
//!
//! Answers the load in which the advisor is scarce: a question costs a fixed time and a further time for each worker
//! named. Naming too few means a second question with its fixed time; naming all costs the further time for nothing.
//! So as many are named as give room for what waits with the share of yes that was seen, and a third more; and always as
//! many as add little to the fixed time. Answers about a step never change, so what was asked too early is of use later.

use crate::job::Advice;
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
pub fn cheap(advice: &Advice) -> usize {
    if advice.each > 0.0 {
        (advice.base * CHEAP / advice.each) as usize
    } else {
        usize::MAX
    }
}

/// Time that a question about this many workers takes.
#[must_use]
pub fn takes(advice: &Advice, workers: usize) -> Ms {
    (advice.base + advice.each * workers as f64) as Ms
}

/// Chooses whom to ask about for `need` tasks, given the share of yes: those that were allowed before and have room first,
/// then those with most room; at most `most`, and at least `cheap` if there are so many.
///
/// ```
/// use pool::advice::{Choice, choose};
///
/// let all: Vec<Choice> = (0..40)
///     .map(|at| Choice { worker: format!("w{at}").into(), fits: 2, known: false })
///     .collect();
/// assert_eq!(choose(4, &all, 0.5, 30, 0).len(), 6);
/// assert_eq!(choose(4, &all, 0.5, 30, 17).len(), 17);
/// ```
#[must_use]
pub fn choose(need: u32, choices: &[Choice], yes: f64, most: usize, cheap: usize) -> Vec<WorkerId> {
    let mut order: Vec<&Choice> = choices.iter().collect();
    order.sort_by(|a, b| {
        (b.known && b.fits > 0, b.fits, b.known)
            .cmp(&(a.known && a.fits > 0, a.fits, a.known))
            .then_with(|| a.worker.cmp(&b.worker))
    });
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for choice in order {
        let enough = expected >= f64::from(need) * SPARE || choice.fits == 0;
        if chosen.len() >= most || enough && chosen.len() >= cheap {
            break;
        }
        let yes = if choice.known { 1.0 } else { yes };
        expected += f64::from(choice.fits.min(need)) * yes;
        chosen.push(choice.worker.clone());
    }
    chosen
}
