//! Which workers to ask the advisor about.
//!
//! Answers the load in which the advisor is scarce: a question costs a fixed time and a further time for each worker
//! named. Naming too few means a second question with its fixed time; naming all costs the further time for nothing.
//! So as many are named as give room for what waits with the share of yes that was seen, and a third more.

use crate::task::WorkerId;

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

/// Chooses whom to ask about for `need` tasks, given the share of yes; at most `most`, those with most room first.
///
/// ```
/// use pool::advice::{Choice, choose};
///
/// let all: Vec<Choice> = (0..40)
///     .map(|at| Choice { worker: format!("w{at}").into(), fits: 2, known: false })
///     .collect();
/// assert_eq!(choose(4, &all, 0.5, 30).len(), 6);
/// ```
#[must_use]
pub fn choose(need: u32, choices: &[Choice], yes: f64, most: usize) -> Vec<WorkerId> {
    let mut order: Vec<&Choice> = choices.iter().filter(|choice| choice.fits > 0).collect();
    order.sort_by(|a, b| {
        (b.known, b.fits)
            .cmp(&(a.known, a.fits))
            .then_with(|| a.worker.cmp(&b.worker))
    });
    let mut expected = 0.0;
    let mut chosen = Vec::new();
    for choice in order {
        if chosen.len() >= most || expected >= f64::from(need) * SPARE {
            break;
        }
        let yes = if choice.known { 1.0 } else { yes };
        expected += f64::from(choice.fits.min(need)) * yes;
        chosen.push(choice.worker.clone());
    }
    chosen
}
