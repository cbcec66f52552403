//! The configuration of one cell.
//!
//! * [`Cell`]: a checked configuration, which everything else acts on.
//! * [`raw`]: the same as operators write it, in JSON.
//! * [`Builder`]: makes a configuration in Rust.
//! * [`Change`]: one line of the difference between two configurations.
//! * [`home`]: which rack a key or a team belongs to.

mod builder;
mod cell;
mod change;
mod check;
pub mod home;
pub mod raw;

pub use builder::Builder;
pub use cell::{Cell, Pack, Policy, Rack, Service, Team};
pub use change::{Change, diff};
pub use check::{Error, MAX_RUN};

/// Version of an accepted configuration; a process applies only rising versions.
pub type Version = u64;

/// Row of the platform's table that holds the configuration in force.
pub const ROW: &str = "config/cell";
