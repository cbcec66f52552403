//! The calls of a worker.

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
    /// Returns its current incarnation and the epoch that it obeys.
    async fn hello(&self, address: &str) -> Result<Hello, Error>;
    /// Makes it obey a new epoch.
    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error>;
    /// Renews its leases and returns its state.
    async fn heartbeat(&self, address: &str, heartbeat: Heartbeat) -> Result<Report, Error>;
    /// Runs a quick request and waits at most `limit` for the complete response.
    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error>;
    /// Ensures that an attempt does not run, or no longer runs.
    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error>;
    /// Starts a task.
    async fn start(&self, address: &str, start: Start) -> Result<(), Error>;
    /// Stops a task; `None` if it was not running.
    async fn stop(&self, address: &str, stop: Stop) -> Result<Option<Stopped>, Error>;
    /// Throttles a task.
    async fn throttle(&self, address: &str, throttle: Throttle) -> Result<(), Error>;
}
