//! Reservations corrected by measured usage.
//!
//! Declared sizes are often far off, and usage is reported late. A reservation grows as soon as a task uses
//! more than it declared. It shrinks only if the operators allow it, only for batch work, and only after
//! several usage reports.

use resource::Size;

/// Number of usage reports required before a reservation may shrink.
pub const MIN_REPORTS: u32 = 5;

/// Computes the reservation for a task.
///
/// `peak` is its highest usage over `reports` usage reports; `margin` is the share reserved on top of
/// that, because reports lag. `shrink` says whether less than `declared` may be reserved.
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
pub fn reserve(declared: Size, peak: Size, reports: u32, margin: f64, shrink: bool) -> Size {
    let shrink = shrink && reports >= MIN_REPORTS;
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
