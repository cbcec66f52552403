//! Which worker, or which rack, a task goes to.

use config::Pack;
use resource::Size;

/// What is known of one place where a task could go.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// What is free.
    pub free: Size,
    /// All that the place has.
    pub whole: Size,
    /// Tasks of the same job that are there already.
    pub siblings: u32,
}

/// How to choose among places with room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The place that is left with the least room.
    BestFit,
    /// The first with room.
    FirstFit,
    /// The place with the most room.
    LeastLoaded,
    /// The place with the fewest tasks of the same job; among those, the one with the most room.
    Spread,
    /// Any place with room: a baseline for measurements.
    Random {
        /// Where to begin to look.
        seed: u64,
    },
}

impl From<Pack> for Rule {
    fn from(pack: Pack) -> Self {
        match pack {
            Pack::BestFit => Self::BestFit,
            Pack::FirstFit => Self::FirstFit,
            Pack::LeastLoaded => Self::LeastLoaded,
        }
    }
}

/// Weight of an accelerator that a task leaves unused where it goes: more than a whole host.
const WASTED_ACCELERATOR: f64 = 4.0;
/// Weight of an uneven rest.
const UNEVEN: f64 = 0.5;

/// The place for a task of this size, as an index into `rooms`.
///
/// ```
/// use policy::{Room, Rule, choose};
/// use resource::Size;
///
/// let whole = Size::new(16_000, 65_536, 0);
/// let room = |cores: u64| Room { free: Size::new(cores * 1_000, 65_536, 0), whole, siblings: 0 };
/// let rooms = [room(16), room(3), room(1)];
/// let task = Size::new(2_000, 1_024, 0);
/// assert_eq!(choose::place(Rule::BestFit, &rooms, task), Some(1));
/// assert_eq!(choose::place(Rule::LeastLoaded, &rooms, task), Some(0));
/// assert_eq!(choose::place(Rule::BestFit, &rooms, Size::new(17_000, 0, 0)), None);
/// ```
#[must_use]
pub fn place(rule: Rule, rooms: &[Room], size: Size) -> Option<usize> {
    let fitting = rooms
        .iter()
        .enumerate()
        .filter(|(_, room)| size.fits(room.free));
    let lowest = |score: fn(&Room, Size) -> f64| {
        let scored = fitting.clone().map(|(at, room)| (at, score(room, size)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
    };
    match rule {
        Rule::FirstFit => fitting.clone().next().map(|(at, _)| at),
        Rule::BestFit => lowest(leftover),
        Rule::LeastLoaded => lowest(|room, size| -leftover(room, size)),
        Rule::Spread => lowest(|room, size| f64::from(room.siblings) * 8.0 - leftover(room, size)),
        Rule::Random { seed } => {
            let n = fitting.clone().count() as u64;
            let nth = seed.checked_rem(n)? as usize;
            fitting.clone().nth(nth).map(|(at, _)| at)
        }
    }
}

/// How much of the place stays unused once the task is there: 0 for none, 2 for all, and more if
/// the task keeps others from accelerators that it does not use itself.
///
/// The shares of processors and memory are added, and half of their difference again: a place that
/// runs out of one of them can't use what it has left of the other.
fn leftover(room: &Room, size: Size) -> f64 {
    let left = room.free.saturating_minus(size);
    let part = |left: u64, whole: u64| {
        if whole == 0 {
            0.0
        } else {
            left as f64 / whole as f64
        }
    };
    let cores = part(left.millicores, room.whole.millicores);
    let memory = part(left.memory_mib, room.whole.memory_mib);
    let wasted = if size.accelerators == 0 && room.free.accelerators > 0 {
        WASTED_ACCELERATOR
    } else {
        part(left.accelerators, room.whole.accelerators)
    };
    cores + memory + (cores - memory).abs() * UNEVEN + wasted
}
