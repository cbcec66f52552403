//! A placer's row in the platform's table.

use std::collections::BTreeMap;

use config::Version;
use resource::id;
use serde::{Deserialize, Serialize};

/// What a placer says of itself, renewed at every beat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Session {
    /// Its address, `ip:port`.
    pub address: String,
    /// Its region.
    pub region: id::Region,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it is stopping.
    #[serde(default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// Version of the configuration that it applies.
    pub applied: Version,
    /// The same of the entries that ask it for routes.
    pub entries: BTreeMap<id::Entry, Version>,
    /// Rises at every beat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

impl Session {
    /// Prefix of the rows of all placers.
    pub const PREFIX: &str = "session/";

    /// Key of a placer's row.
    #[must_use]
    pub fn key(placer: &str) -> String {
        format!("{}{placer}", Self::PREFIX)
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde wants"
)]
fn is_false(value: &bool) -> bool {
    !*value
}
