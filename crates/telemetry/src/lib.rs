//! What every program of the system has in common.
//!
//! * [`Settings`]: flags and environment variables for logs and metrics.
//! * [`logs`]: JSON lines, bounded.
//! * [`exposition`]: metrics as text.
//! * [`Health`]: metrics, health and readiness over HTTP.
//! * [`Stop`]: SIGTERM, and the tasks that are joined before the program ends.
//! * [`Since`]: time since the program began.

pub mod exposition;
mod health;
pub mod logs;
mod settings;
mod shutdown;
mod uptime;

pub use health::Health;
pub use settings::Settings;
pub use shutdown::Stop;
pub use uptime::Since;
