//! Small specifications of the core protocol and the search that checks them.
//!
//! * [`Spec`]: a specification: an initial state, a successor function and an invariant.
//! * [`search()`]: returns a shortest trace to a violation, or the number of states if there is none.
//! * [`ownership`]: a key never runs in two places, even while the ownership of its rack changes.
//! * [`claims`]: a non-idempotent request runs at most once, and the answer "not run" is true.
//! * [`tasks`]: two attempts at one task never run at once, even while the owner of the job changes.
//! * [`configuration`]: an accepted configuration is in force everywhere and never reverts.
//! * [`parts`]: the pools' parts of a customer's limit never add up to more than the limit, and none is lost.
//! * [`gang`]: either all members of a gang run or none.

pub mod claims;
pub mod configuration;
pub mod gang;
pub mod ownership;
pub mod parts;
mod search;
mod spec;
pub mod tasks;

pub use search::{SearchResult, search};
pub use spec::{Spec, Successors};
