//! What a worker offers and a task needs: processors, memory and accelerators.
//!
//! * [`Size`]: a checked amount of all three.
//! * [`Raw`]: the same as operators and callers write it.
//! * [`id`]: aliases for the names that travel through the system.

pub mod id;
mod raw;
mod size;

pub use raw::{Error, Raw};
pub use size::Size;
