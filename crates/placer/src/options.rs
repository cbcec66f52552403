//! What a placer is told at its start.

use std::time::Duration;

use resource::id;

/// Names, places and intervals of one placer.
///
/// ```
/// use placer::Options;
///
/// let options = Options::new("p1", "127.0.0.1:7100").place("north", "north-1");
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
    pub beat: Duration,
    /// A session row that has not changed for this long is taken for dead.
    pub stale: Duration,
    /// How often its workers get a heartbeat.
    pub pulse: Duration,
    /// How often room in other placers' racks is asked for.
    pub digest: Duration,
    /// Claims that come within this time are written together.
    pub gather: Duration,
    /// How long a claim, and the answer to its request, is remembered.
    pub remember: Duration,
    /// How long stopping may take for what is in hand.
    pub drain: Duration,
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
            beat: Duration::from_millis(1_000),
            stale: Duration::from_millis(3_500),
            pulse: Duration::from_millis(500),
            digest: Duration::from_millis(1_000),
            gather: Duration::from_millis(20),
            remember: Duration::from_secs(600),
            drain: Duration::from_secs(10),
        }
    }

    /// Sets where it runs.
    #[must_use]
    pub fn place(mut self, region: &str, data_centre: &str) -> Self {
        region.clone_into(&mut self.region);
        data_centre.clone_into(&mut self.data_centre);
        self
    }
}
