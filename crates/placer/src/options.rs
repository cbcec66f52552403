//! What a placer is told at its start.

use std::time::Duration;

use resource::id;

/// Names, places and intervals of one placer.
///
/// ```
/// use placer::Options;
///
/// let options = Options::new("p1", "127.0.0.1:7100").with_location("north", "north-1");
/// assert_eq!(options.region, "north");
/// ```
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this life of the process: no other life may have had it.
    pub name: id::Placer,
    /// Address at which entries and other placers reach it.
    pub address: String,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Addresses of other placers, to learn the configuration from when it starts while the table
    /// is down.
    pub peers: Vec<String>,
    /// How often its session row is renewed and the table is read.
    pub sync_interval: Duration,
    /// A session row that has not changed for this long is taken for dead.
    pub session_timeout: Duration,
    /// How often its workers get a heartbeat.
    pub heartbeat_interval: Duration,
    /// How often room in other placers' racks is asked for.
    pub digest_interval: Duration,
    /// Claims that come within this time are written together.
    pub claim_batch_delay: Duration,
    /// How long a claim, and the answer to its request, is remembered.
    pub request_retention: Duration,
    /// How long stopping may take for what is in hand.
    pub drain_timeout: Duration,
}

impl Options {
    /// A placer with the usual intervals, in no place yet.
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

    /// Sets where it runs.
    #[must_use]
    pub fn with_location(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.region);
        data_centre.clone_into(&mut self.data_centre);
        self
    }
}
