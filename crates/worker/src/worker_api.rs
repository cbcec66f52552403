//! What can be asked of a worker.

use std::time::Duration;

use async_trait::async_trait;

use crate::Error;
use crate::call::{
    Adopt, Adopted, Heartbeat, Hello, Report, Run, RunResult, Start, Stop, Stopped, Throttle, Void,
    Voided,
};

/// The calls that a worker answers; `address` is its `ip:port`.
#[async_trait]
pub trait WorkerApi: Send + Sync {
    /// Asks for its present life.
    async fn hello(&self, address: &str) -> Result<Hello, Error>;
    /// Takes it over.
    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error>;
    /// Renews its leases and reads its state.
    async fn heartbeat(&self, address: &str, heartbeat: Heartbeat) -> Result<Report, Error>;
    /// Runs a quick request and waits for the whole answer, at most `limit`.
    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error>;
    /// Makes sure that an attempt does not run (any more).
    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error>;
    /// Starts a task.
    async fn start(&self, address: &str, start: Start) -> Result<(), Error>;
    /// Stops a task; `None` if it did not run.
    async fn stop(&self, address: &str, stop: Stop) -> Result<Option<Stopped>, Error>;
    /// Slows a task down.
    async fn throttle(&self, address: &str, throttle: Throttle) -> Result<(), Error>;
}
