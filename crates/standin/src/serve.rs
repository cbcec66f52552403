//! The stand-ins over HTTP.

mod machine;
mod platform;

pub use machine::{Control, machines};
pub use platform::{Scanned, platform};
