//! Logging, metrics and shutdown, shared by every program of the system.
//!
//! * [`Settings`]: flags and environment variables for logs and metrics.
//! * [`logs`]: logs as JSON lines, bounded in volume.
//! * [`exposition`]: metrics as text.
//! * [`Health`]: metrics, health and readiness over HTTP.
//! * [`Shutdown`]: graceful shutdown on SIGTERM in [`Phase`]s, which waits for every task.
//! * [`Uptime`]: time since the start of the process.

pub mod exposition;
mod health;
pub mod logs;
mod settings;
mod shutdown;
mod uptime;

pub use health::Health;
pub use settings::Settings;
pub use shutdown::{Phase, Shutdown};
pub use uptime::Uptime;
