//! How entries learn who owns what, and which configuration is in force.

use config::Version;
use resource::id;
use serde::{Deserialize, Serialize};

/// What an entry asks a placer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Name of the entry.
    pub entry: id::Entry,
    /// Version of the configuration that it applies.
    pub applied: Version,
    /// Generation of the routes that it has from this placer.
    pub generation: u64,
}

/// Who owns a rack.
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

/// What the placer answers; parts that the entry has already are left out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Routes {
    /// Generation of these routes at this placer.
    pub generation: u64,
    /// Owners of racks, if they differ from what the entry has.
    pub owners: Option<Vec<(id::Rack, Owner)>>,
    /// Addresses of all placers, if the owners are given.
    pub placers: Vec<String>,
    /// The configuration, if the entry applies another version.
    pub config: Option<(Version, config::raw::Cell)>,
}
