//! Small specifications of the core protocol and the search that checks them.
//!
//! * [`Spec`]: a specification: first states, steps, and what must never be.
//! * [`search`]: the shortest way to a bad state, or the number of states without one.
//! * [`ownership`]: a key never runs in two places, whoever owns the rack.
//! * [`claims`]: a non-idempotent request runs at most once, and "not run" is true.
//! * [`tasks`]: two attempts at one task never run at once, whoever looks after the job.
//! * [`configuration`]: what is accepted is in force everywhere and never reverts.
//! * [`gang`]: all of a gang or none of it.

pub mod claims;
pub mod configuration;
pub mod gang;
pub mod ownership;
mod search;
mod spec;
pub mod tasks;

pub use search::{Found, search};
pub use spec::{Spec, Steps};
