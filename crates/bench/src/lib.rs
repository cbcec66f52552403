//! Plays workloads and checks that every answer was true.
//!
//! * [`Workload`]: what callers ask, read from a file.
//! * [`play`]: asks it, in open loop.
//! * [`Tally`]: what callers got, by stream.
//! * [`verify`]: holds the answers against the workers' journals.

mod client;
mod load;
mod tally;
pub mod verify;
mod workload;

pub use client::{Client, Got, Outcome};
pub use load::{Asked, Options, play};
pub use tally::{Line, Tally};
pub use workload::{Burst, JobStream, RequestStream, Workload};
