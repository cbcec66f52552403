//! The operators' command line.
//!
//! * [`Settings`]: its commands and flags.
//! * [`apply`]: accepts a configuration, and says so only once it is in force everywhere.
//! * [`burn`]: the report on service-level burn.
//! * [`show`]: racks, workers and quotas.

pub mod apply;
pub mod burn;
mod settings;
pub mod show;

pub use settings::{Command, ConfigCommand, ReportCommand, Settings, ShowCommand};
