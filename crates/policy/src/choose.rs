//! Which worker, or which rack, a task is placed on.

use config::PackingRule;
use resource::Size;

/// Capacity of one place (a worker or a rack) where a task could be placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Free capacity.
    pub free: Size,
    /// Total capacity.
    pub total: Size,
    /// Number of tasks of the same job that are already at this place.
    pub siblings: u32,
}

/// How to choose among the places with enough free capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The place with the least capacity left over.
    BestFit,
    /// The first place where the task fits.
    FirstFit,
    /// The place with the most capacity left over.
    LeastLoaded,
    /// The place with the fewest tasks of the same job; among those, the one with the most capacity left over.
    Spread,
    /// Any place where the task fits: a baseline for measurements.
    Random {
        /// Selects the place, modulo the number of places where the task fits.
        seed: u64,
    },
}

impl From<PackingRule> for Rule {
    fn from(rule: PackingRule) -> Self {
        match rule {
            PackingRule::BestFit => Self::BestFit,
            PackingRule::FirstFit => Self::FirstFit,
            PackingRule::LeastLoaded => Self::LeastLoaded,
        }
    }
}

/// Penalty for placing a task that needs no accelerator where accelerators are free; more than the leftover
/// of a whole empty host.
const WASTED_ACCELERATOR_PENALTY: f64 = 4.0;
/// Weight of the difference between the leftover shares of processors and memory.
const IMBALANCE_WEIGHT: f64 = 0.5;

/// Chooses the place for a task of this size, as an index into `places`.
///
/// ```
/// use policy::{Capacity, Rule, choose};
/// use resource::Size;
///
/// let total = Size::new(16_000, 65_536, 0);
/// let capacity = |cores: u64| Capacity { free: Size::new(cores * 1_000, 65_536, 0), total, siblings: 0 };
/// let places = [capacity(16), capacity(3), capacity(1)];
/// let task = Size::new(2_000, 1_024, 0);
/// assert_eq!(choose::place(Rule::BestFit, &places, task), Some(1));
/// assert_eq!(choose::place(Rule::LeastLoaded, &places, task), Some(0));
/// assert_eq!(choose::place(Rule::BestFit, &places, Size::new(17_000, 0, 0)), None);
/// ```
#[must_use]
pub fn place(rule: Rule, places: &[Capacity], size: Size) -> Option<usize> {
    let fitting = places
        .iter()
        .enumerate()
        .filter(|(_, capacity)| size.fits(capacity.free));
    let lowest = |score: fn(&Capacity, Size) -> f64| {
        let scored = fitting
            .clone()
            .map(|(i, capacity)| (i, score(capacity, size)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    };
    match rule {
        Rule::FirstFit => fitting.clone().next().map(|(i, _)| i),
        Rule::BestFit => lowest(leftover),
        Rule::LeastLoaded => lowest(|capacity, size| -leftover(capacity, size)),
        Rule::Spread => {
            // No leftover score reaches 8, so the number of siblings decides first.
            lowest(|capacity, size| f64::from(capacity.siblings) * 8.0 - leftover(capacity, size))
        }
        Rule::Random { seed } => {
            let n = fitting.clone().count() as u64;
            let nth = seed.checked_rem(n)? as usize;
            fitting.clone().nth(nth).map(|(i, _)| i)
        }
    }
}

/// Score of the capacity that stays unused at the place once the task is there: 0 for none, 2 if
/// all of it, plus a penalty if the task blocks accelerators that it does not use itself.
///
/// The score adds the unused shares of processors and memory, and half of their difference: a place that
/// runs out of one of them can't use what is left of the other.
fn leftover(capacity: &Capacity, size: Size) -> f64 {
    let left = capacity.free.saturating_minus(size);
    let share = |left: u64, total: u64| {
        if total == 0 {
            0.0
        } else {
            left as f64 / total as f64
        }
    };
    let cores = share(left.millicores, capacity.total.millicores);
    let memory = share(left.memory_mib, capacity.total.memory_mib);
    let accelerators = if size.accelerators == 0 && capacity.free.accelerators > 0 {
        WASTED_ACCELERATOR_PENALTY
    } else {
        share(left.accelerators, capacity.total.accelerators)
    };
    cores + memory + (cores - memory).abs() * IMBALANCE_WEIGHT + accelerators
}
