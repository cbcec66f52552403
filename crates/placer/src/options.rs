//! Start-up options of a placer.

use std::time::Duration;

use resource::id;

/// Upper bound on [`Options::ending_time`].
const MAX_ENDING_TIME: Duration = Duration::from_millis(1_000);

/// Identity, location and intervals of one placer.
///
/// ```
/// use placer::Options;
///
/// let options = Options::new("p1", "127.0.0.1:7100").with_location("north", "north-1");
/// assert_eq!(options.region, "north");
/// ```
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this incarnation of the process; must never be reused.
    pub name: id::Placer,
    /// Address at which entries and other placers reach it.
    pub address: String,
    /// Region of its host.
    pub region: id::Region,
    /// Data centre of its host.
    pub data_centre: id::DataCentre,
    /// Addresses of other placers, which it asks for the configuration if it starts while the table
    /// is down.
    pub peers: Vec<String>,
    /// Interval at which its session row is renewed and the table is read.
    pub sync_interval: Duration,
    /// A placer whose session row has not changed for this long counts as crashed.
    pub session_timeout: Duration,
    /// Interval of heartbeats to its workers.
    pub heartbeat_interval: Duration,
    /// Interval at which other placers are asked for the free capacity of their racks.
    pub digest_interval: Duration,
    /// Claims that arrive within this time are written in one transaction.
    pub claim_batch_delay: Duration,
    /// How long a claim, and the answer to its request, is retained.
    pub request_retention: Duration,
    /// Time limit for work in progress when the placer stops.
    pub drain_timeout: Duration,
}

impl Options {
    /// Options with the default intervals and no location.
    #[must_use]
    pub fn new(name: &str, address: &str) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            region: String::new(),
            data_centre: String::new(),
            peers: Vec::new(),
            sync_interval: Duration::from_millis(1_000),
            session_timeout: Duration::from_millis(3_500),
            heartbeat_interval: Duration::from_millis(500),
            digest_interval: Duration::from_millis(1_000),
            claim_batch_delay: Duration::from_millis(20),
            request_retention: Duration::from_secs(600),
            drain_timeout: Duration::from_secs(10),
        }
    }

    /// The part of the drain timeout that is left for answering calls in progress, and for ending
    /// connections and tasks.
    #[must_use]
    pub fn ending_time(&self) -> Duration {
        MAX_ENDING_TIME.min(self.drain_timeout / 4)
    }

    /// Sets region and data centre.
    #[must_use]
    pub fn with_location(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.region);
        data_centre.clone_into(&mut self.data_centre);
        self
    }
}
