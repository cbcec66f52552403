//! The interface of a worker and its executor.
//!
//! * [`EpochFence`]: the fencing rule. It does no I/O, and the specification and the stand-in use
//!   it too.
//! * [`WorkerApi`]: the calls of a worker.
//! * [`Client`]: the same calls over HTTP.
//! * [`call`]: the messages.

pub mod call;
mod client;
mod epoch_fence;
mod error;
mod worker_api;

pub use client::{CALL_TIMEOUT, Client};
pub use epoch_fence::{EpochFence, Refusal};
pub use error::Error;
pub use worker_api::WorkerApi;
