//! Which tasks are preempted for urgent work.

use resource::Size;

/// A task that could be preempted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Victim {
    /// Capacity that the task takes.
    pub size: Size,
    /// Work that would be lost, since the last checkpoint, in milliseconds.
    pub lost_work_ms: u64,
}

/// Selects the fewest tasks, and among them those that lose the least work, whose preemption frees enough for
/// `size` on top of what is `free`; as indices into `victims`. `None` if preempting all of them is not
/// enough.
///
/// The selection is greedy: tasks that cover the most of the missing capacity come first, then those that
/// turn out to be unnecessary are dropped. With a handful of tasks on a host this is close enough to the
/// optimum.
///
/// ```
/// use policy::evict::{Victim, victims};
/// use resource::Size;
///
/// let task = |cores: u64| Victim { size: Size::new(cores * 1_000, 0, 0), lost_work_ms: 0 };
/// let running = [task(1), task(4), task(2)];
/// assert_eq!(victims(Size::ZERO, Size::new(3_000, 0, 0), &running), Some(vec![1]));
/// assert_eq!(victims(Size::ZERO, Size::new(8_000, 0, 0), &running), None);
/// ```
#[must_use]
pub fn victims(free: Size, size: Size, victims: &[Victim]) -> Option<Vec<usize>> {
    let missing = size.saturating_minus(free);
    let mut order: Vec<usize> = (0..victims.len()).collect();
    order.sort_by(|&a, &b| {
        let coverage = |v: &Victim| v.size.share(missing).min(1.0);
        let (a, b) = (&victims[a], &victims[b]);
        coverage(b)
            .total_cmp(&coverage(a))
            .then(a.lost_work_ms.cmp(&b.lost_work_ms))
    });
    let mut chosen = Vec::new();
    let mut available = free;
    for i in order {
        if size.fits(available) {
            break;
        }
        available = available.plus(victims[i].size);
        chosen.push(i);
    }
    if !size.fits(available) {
        return None;
    }
    drop_unnecessary(available, size, victims, &mut chosen);
    Some(chosen)
}

/// Removes the tasks from `chosen` without which `size` still fits.
fn drop_unnecessary(mut available: Size, size: Size, victims: &[Victim], chosen: &mut Vec<usize>) {
    chosen.retain(|&i| match available.minus(victims[i].size) {
        Some(rest) if size.fits(rest) => {
            available = rest;
            false
        }
        _ => true,
    });
}
