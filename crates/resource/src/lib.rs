//! Resources that a worker offers and a task requests: processors, memory and accelerators.
//!
//! * [`Size`]: a validated amount of all three.
//! * [`Raw`]: the same amount as operators and callers write it, not validated yet.
//! * [`id`]: aliases for the identifiers used across the crates.

pub mod id;
mod raw;
mod size;

pub use raw::{Error, Raw};
pub use size::Size;
