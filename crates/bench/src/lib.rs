//! Load tool: runs workloads against a cell and verifies every answer.
//!
//! * [`Workload`]: streams of requests and jobs, read from a file.
//! * [`run`]: sends them in open loop.
//! * [`Tally`]: counts and latencies of the answers, by stream.
//! * [`verify`]: compares the answers with the workers' journals.

mod client;
mod load;
mod tally;
pub mod verify;
mod workload;

pub use client::{Client, Outcome, Reply};
pub use load::{Options, RequestRecord, run};
pub use tally::{StreamStats, Tally};
pub use workload::{Burst, JobStream, RequestStream, Workload};
