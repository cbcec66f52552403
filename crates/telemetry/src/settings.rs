//! Flags and environment variables for logs and metrics.

use std::net::SocketAddr;

use clap::Args;

/// Settings that every program has.
#[derive(Args, Clone, Debug)]
#[group(id = "telemetry")]
pub struct Settings {
    /// Least severe messages that are logged.
    #[arg(long, env = "LENTILYOKE_LOG", default_value = "info",
          value_parser = ["error", "warn", "info", "debug", "trace"])]
    pub log: String,
    /// Address of metrics, health and readiness; port 0 takes any free one.
    #[arg(long, env = "LENTILYOKE_METRICS", default_value = "127.0.0.1:0")]
    pub metrics: SocketAddr,
}
