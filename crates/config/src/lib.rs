//! The configuration of one cell.
//!
//! * [`Cell`]: a validated configuration, which all other crates use.
//! * [`raw`]: the same configuration as operators write it, in JSON.
//! * [`Builder`]: builds a configuration in Rust.
//! * [`Change`]: one difference between two configurations.
//! * [`home`]: which rack a key or a team belongs to.

mod builder;
mod cell;
mod change;
mod check;
pub mod home;
pub mod raw;

pub use builder::Builder;
pub use cell::{Cell, PackingRule, Policy, Rack, Service, Team};
pub use change::{Change, diff};
pub use check::{Error, MAX_RUN};

/// Version of an accepted configuration; a process applies a configuration only if its version is newer.
pub type Version = u64;

/// Key of the row of the platform's table that holds the current configuration.
pub const ROW: &str = "config/cell";
