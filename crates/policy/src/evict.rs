//! Which tasks make room for urgent work.

use resource::Size;

/// A task that could be stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// What it takes.
    pub size: Size,
    /// Work that would be lost since its last checkpoint, in milliseconds.
    pub loss_ms: u64,
}

/// The fewest tasks, and among them the ones with the least work to lose, whose end makes room
/// for `size` beside what is `free`; as indices into `victims`. `None` if all are too few.
///
/// Tasks are taken greedily, the one first that helps most, then those that turn out not to be
/// needed are let off; with a handful of tasks on a host this is exact enough.
///
/// ```
/// use policy::evict::{Victim, victims};
/// use resource::Size;
///
/// let task = |cores: u64| Victim { size: Size::new(cores * 1_000, 0, 0), loss_ms: 0 };
/// let running = [task(1), task(4), task(2)];
/// assert_eq!(victims(Size::ZERO, Size::new(3_000, 0, 0), &running), Some(vec![1]));
/// assert_eq!(victims(Size::ZERO, Size::new(8_000, 0, 0), &running), None);
/// ```
#[must_use]
pub fn victims(free: Size, size: Size, victims: &[Victim]) -> Option<Vec<usize>> {
    let missing = size.saturating_minus(free);
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by(|&a, &b| {
        let help = |v: &Victim| v.size.share(missing).min(1.0);
        let (a, b) = (&victims[a], &victims[b]);
        help(b).total_cmp(&help(a)).then(a.loss_ms.cmp(&b.loss_ms))
    });
    let mut chosen = Vec::new();
    let mut room = free;
    for at in order {
        if size.fits(room) {
            break;
        }
        room = room.plus(victims[at].size);
        chosen.push(at);
    }
    if !size.fits(room) {
        return None;
    }
    spare(room, size, victims, &mut chosen);
    Some(chosen)
}

/// Lets off those that are not needed after all.
fn spare(mut room: Size, size: Size, victims: &[Victim], chosen: &mut Vec<usize>) {
    chosen.retain(|&at| match room.minus(victims[at].size) {
        Some(rest) if size.fits(rest) => {
            room = rest;
            false
        }
        _ => true,
    });
}
