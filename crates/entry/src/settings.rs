//! Flags and environment variables of the program.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use clap::builder::RangedU64ValueParser;

/// Takes requests from callers and gives each one true answer.
#[derive(Clone, Debug, Parser)]
#[command(name = "lentilyoke-entry", version)]
pub struct Settings {
    /// Name of this host's entry, unique in the cell.
    #[arg(long, env = "LENTILYOKE_NAME")]
    pub name: String,
    /// Region of this host.
    #[arg(long, env = "LENTILYOKE_REGION")]
    pub region: String,
    /// Address to listen on for callers; port 0 takes any free one.
    #[arg(long, env = "LENTILYOKE_LISTEN", default_value = "127.0.0.1:8080")]
    pub listen: SocketAddr,
    /// Addresses of placers to ask at the start, separated by commas; this host's own first.
    #[arg(
        long,
        env = "LENTILYOKE_PLACERS",
        value_delimiter = ',',
        required = true
    )]
    pub placers: Vec<SocketAddr>,
    /// How often a placer is asked who owns what, in milliseconds (50 to 1000).
    #[arg(long, env = "LENTILYOKE_ROUTES_MS", default_value_t = 300,
          value_parser = RangedU64ValueParser::<u64>::new().range(50..=1_000))]
    pub routes_ms: u64,
    /// How long stopping may take for what is in hand, in milliseconds (100 to 60000).
    #[arg(long, env = "LENTILYOKE_DRAIN_MS", default_value_t = 10_000,
          value_parser = RangedU64ValueParser::<u64>::new().range(100..=60_000))]
    pub drain_ms: u64,
    /// Logs and metrics.
    #[command(flatten)]
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// How often a placer is asked who owns what.
    #[must_use]
    pub const fn routes_every(&self) -> Duration {
        Duration::from_millis(self.routes_ms)
    }
}
