//! Flags and environment variables of the program.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use clap::builder::RangedU64ValueParser;

use crate::Options;

/// Owns racks: runs quick requests, places tasks and manages jobs.
#[derive(Clone, Debug, Parser)]
#[command(name = "lentilyoke-placer", version)]
pub struct Settings {
    /// Name of this host's placer; each start appends a suffix of its own.
    #[arg(long, env = "LENTILYOKE_NAME")]
    pub name: String,
    /// Region of this host.
    #[arg(long, env = "LENTILYOKE_REGION")]
    pub region: String,
    /// Data centre of this host.
    #[arg(long, env = "LENTILYOKE_DATA_CENTRE")]
    pub data_centre: String,
    /// Address to listen on for entries and other placers; port 0 takes any free one.
    #[arg(long, env = "LENTILYOKE_LISTEN", default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address advertised to others, if it differs from the listen address.
    #[arg(long, env = "LENTILYOKE_ADVERTISE")]
    pub advertise: Option<SocketAddr>,
    /// Address of the platform.
    #[arg(long, env = "LENTILYOKE_PLATFORM")]
    pub platform: SocketAddr,
    /// Comma-separated addresses of other placers, asked for the configuration if the platform is
    /// down at the start.
    #[arg(long, env = "LENTILYOKE_PEERS", value_delimiter = ',')]
    pub peers: Vec<SocketAddr>,
    /// Interval at which the session is renewed, in milliseconds (100 to 10000).
    #[arg(long, env = "LENTILYOKE_BEAT_MS", default_value_t = 1_000,
          value_parser = RangedU64ValueParser::<u64>::new().range(100..=10_000))]
    pub beat_ms: u64,
    /// Interval of heartbeats to workers, in milliseconds (100 to 1000).
    #[arg(long, env = "LENTILYOKE_PULSE_MS", default_value_t = 500,
          value_parser = RangedU64ValueParser::<u64>::new().range(100..=1_000))]
    pub pulse_ms: u64,
    /// Claims that arrive within this time are written together, in milliseconds (1 to 200).
    #[arg(long, env = "LENTILYOKE_GATHER_MS", default_value_t = 20,
          value_parser = RangedU64ValueParser::<u64>::new().range(1..=200))]
    pub gather_ms: u64,
    /// How long claims and answers of non-idempotent requests are retained, in seconds (60 to
    /// 86400).
    #[arg(long, env = "LENTILYOKE_REMEMBER_S", default_value_t = 600,
          value_parser = RangedU64ValueParser::<u64>::new().range(60..=86_400))]
    pub remember_s: u64,
    /// Time limit for work in progress when the placer stops, in milliseconds (100 to 60000).
    #[arg(long, env = "LENTILYOKE_DRAIN_MS", default_value_t = 10_000,
          value_parser = RangedU64ValueParser::<u64>::new().range(100..=60_000))]
    pub drain_ms: u64,
    /// Logs and metrics.
    #[command(flatten)]
    pub telemetry: telemetry::Settings,
}

impl Settings {
    /// The options of this incarnation of the process.
    #[must_use]
    pub fn options(&self, incarnation: &str, address: SocketAddr) -> Options {
        let address = self.advertise.unwrap_or(address).to_string();
        let defaults = Options::new(&format!("{}.{incarnation}", self.name), &address);
        let sync_interval = Duration::from_millis(self.beat_ms);
        Options {
            peers: self.peers.iter().map(SocketAddr::to_string).collect(),
            sync_interval,
            session_timeout: sync_interval * 7 / 2,
            heartbeat_interval: Duration::from_millis(self.pulse_ms),
            claim_batch_delay: Duration::from_millis(self.gather_ms),
            request_retention: Duration::from_secs(self.remember_s),
            drain_timeout: Duration::from_millis(self.drain_ms),
            ..defaults
        }
        .with_location(&self.region, &self.data_centre)
    }
}
