//! The contract with a worker and the executor on it.
//!
//! * [`Slot`]: the fencing rule; pure, and shared with the specification and the stand-in.
//! * [`Host`]: what can be asked of a worker.
//! * [`Client`]: the same over HTTP.
//! * [`call`]: the messages.

pub mod call;
mod client;
mod error;
mod host;
mod slot;

pub use client::{Client, TIMEOUT};
pub use error::Error;
pub use host::Host;
pub use slot::{Refusal, Slot};
