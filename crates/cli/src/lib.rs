//! The operators' command line.
//!
//! * [`Settings`]: its commands and flags.
//! * [`apply`]: accepts a configuration, and says so only once it is in force everywhere.
//! * [`burn`]: the report on service-level burn.
//! * [`explain`]: the course of a job, from log lines.
//! * [`show`]: racks, workers and quotas.

pub mod apply;
pub mod burn;
pub mod explain;
mod settings;
pub mod show;

pub use settings::{Command, ConfigCommand, ReportCommand, Settings, ShowCommand};
