//! Flags and environment variables for logs and metrics.

use std::net::SocketAddr;

use clap::Args;

/// Settings shared by every program.
#[derive(Args, Clone, Debug)]
#[group(id = "telemetry")]
pub struct Settings {
    /// Minimum severity of the messages that are logged.
    #[arg(long, env = "LENTILYOKE_LOG", default_value = "info",
          value_parser = ["error", "warn", "info", "debug", "trace"])]
    pub log: String,
    /// Listen address for metrics, health and readiness; port 0 selects any free port.
    #[arg(long, env = "LENTILYOKE_METRICS", default_value = "127.0.0.1:0")]
    pub metrics: SocketAddr,
}
