//! The fakes over HTTP.

mod machine;
mod platform;

pub use machine::{ServedMachine, machine_router};
pub use platform::{ScanQuery, platform_router};
