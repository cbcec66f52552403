//! How entries learn which placer owns each rack, and the current configuration.

use config::Version;
use resource::id;
use serde::{Deserialize, Serialize};

/// An entry's query to a placer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteQuery {
    /// Name of the entry.
    pub entry: id::Entry,
    /// Version of the configuration that the entry applies.
    pub applied: Version,
    /// Generation of the routes that the entry has received from this placer.
    pub generation: u64,
}

/// Owner of a rack.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// The placer.
    pub placer: id::Placer,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its epoch.
    pub epoch: id::Epoch,
}

/// A placer's reply; parts that the entry already has are omitted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// Generation of these routes at this placer.
    pub generation: u64,
    /// Owners of racks, if they differ from those that the entry has.
    pub owners: Option<Vec<(id::Rack, Owner)>>,
    /// Addresses of all placers, if `owners` is set.
    pub placers: Vec<String>,
    /// The configuration, if the entry applies a different version.
    pub config: Option<(Version, config::raw::Cell)>,
}
