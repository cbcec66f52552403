//! Sizes corrected from measured usage.
//!
//! Declared sizes are far off, and usage comes late. What is set aside for a task grows at once
//! when it uses more than it said, and shrinks only if the operators allow it, only for batch
//! work, and only after usage has been seen for a while.

use resource::Size;

/// Reports that must have been seen before a size shrinks.
pub const SEEN: u32 = 5;

/// What to set aside for a task.
///
/// `peak` is the most that it was seen to use in `seen` reports; `margin` is the share kept above
/// that, since reports lag. `shrink` says whether less than `declared` may be set aside.
///
/// ```
/// use policy::correct;
/// use resource::Size;
///
/// let declared = Size::new(4_000, 8_192, 1);
/// let peak = Size::new(1_000, 2_048, 1);
/// assert_eq!(correct::reserve(declared, peak, 9, 0.25, true), Size::new(1_250, 2_560, 1));
/// assert_eq!(correct::reserve(declared, peak, 9, 0.25, false), declared);
/// assert_eq!(correct::reserve(declared, peak, 1, 0.25, true), declared);
/// ```
#[must_use]
pub fn reserve(declared: Size, peak: Size, seen: u32, margin: f64, shrink: bool) -> Size {
    let shrink = shrink && seen >= SEEN;
    let one = |declared: u64, peak: u64| {
        let wanted = (peak as f64 * (1.0 + margin)).ceil() as u64;
        match shrink {
            true => wanted.min(declared).max(peak),
            false => declared.max(peak),
        }
    };
    Size::new(
        one(declared.millicores, peak.millicores),
        one(declared.memory_mib, peak.memory_mib),
        declared.accelerators,
    )
}
