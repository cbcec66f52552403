//! The contract with a worker and the executor on it.
//!
//! * [`EpochFence`]: the fencing rule; pure, and shared with the specification and the stand-in.
//! * [`WorkerApi`]: what can be asked of a worker.
//! * [`Client`]: the same over HTTP.
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
