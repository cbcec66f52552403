//! Logging, metrics and shutdown, shared by every program of the system.
//!
//! * [`Settings`]: flags and environment variables for logs and metrics.
//! * [`logs`]: logs as JSON lines, bounded in volume.
//! * [`exposition`]: metrics as text.
//! * [`Health`]: metrics, health and readiness over HTTP.
//! * [`Connections`]: HTTP connections of clients, which the shutdown ends.
//! * [`PendingCalls`]: calls that have been read and not been answered yet; logs those that never are.
//! * [`Shutdown`]: graceful shutdown on SIGTERM in [`Phase`]s, which waits for every task.
//! * [`Uptime`]: time since the start of the process.

mod connections;
pub mod exposition;
mod health;
pub mod logs;
mod pending_call;
mod settings;
mod shutdown;
mod uptime;

pub use connections::Connections;
pub use health::Health;
pub use pending_call::{PendingCall, PendingCalls};
pub use settings::Settings;
pub use shutdown::{Phase, Shutdown};
pub use uptime::Uptime;
