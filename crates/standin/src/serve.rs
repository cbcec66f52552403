//! The stand-ins over HTTP.

mod hosts;
mod table;

pub use hosts::{Control, machines};
pub use table::{Scanned, platform};
