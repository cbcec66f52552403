//! Command line for operators.
//!
//! * [`Settings`]: commands and options.
//! * [`apply`]: writes a configuration; it is accepted once it is in force everywhere.
//! * [`burn`]: burn rates of the services' error budgets.
//! * [`explain`]: the history of a job, from log lines.
//! * [`show`]: placers, racks, workers and quotas.

pub mod apply;
pub mod burn;
pub mod explain;
mod settings;
pub mod show;

pub use settings::{Command, ConfigCommand, ReportCommand, Settings, ShowCommand};
