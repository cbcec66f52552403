//! Flags and environment variables of the program.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use clap::builder::RangedU64ValueParser;

use crate::Options;

/// Accepts requests from callers and forwards each to the owner of its rack.
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
    /// Addresses of placers to query at the start, separated by commas; this host's own first.
    #[arg(
        long,
        env = "LENTILYOKE_PLACERS",
        value_delimiter = ',',
        required = true
    )]
    pub placers: Vec<SocketAddr>,
    /// Interval at which routes are queried from a placer, in milliseconds (50 to 1000).
    #[arg(long, env = "LENTILYOKE_ROUTES_MS", default_value_t = 300,
          value_parser = RangedU64ValueParser::<u64>::new().range(50..=1_000))]
    pub routes_ms: u64,
    /// Time after the signal to stop during which new connections are accepted, so that the load
    /// balancer learns from `/ready` that the entry stops, in milliseconds (0 to 30000); at most
    /// half of the drain time.
    #[arg(long, env = "LENTILYOKE_CLOSE_DELAY_MS", default_value_t = 3_000,
          value_parser = RangedU64ValueParser::<u64>::new().range(0..=30_000))]
    pub close_delay_ms: u64,
    /// Maximum time to complete calls in progress when stopping, in milliseconds (100 to 60000).
    #[arg(long, env = "LENTILYOKE_DRAIN_MS", default_value_t = 10_000,
          value_parser = RangedU64ValueParser::<u64>::new().range(100..=60_000))]
    pub drain_ms: u64,
    /// Logs and metrics.
    #[command(flatten)]
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// Interval at which routes are queried from a placer.
    #[must_use]
    pub const fn routes_interval(&self) -> Duration {
        Duration::from_millis(self.routes_ms)
    }

    /// How long the entry goes on serving when it stops.
    #[must_use]
    pub fn options(&self) -> Options {
        Options::default()
            .with_close_delay(Duration::from_millis(self.close_delay_ms))
            .with_max_drain(Duration::from_millis(self.drain_ms))
    }
}
