//! A placer's row in the platform's table.

use std::collections::BTreeMap;

use config::Version;
use resource::id;
use serde::{Deserialize, Serialize};

/// Published state of a placer, renewed at every sync interval.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Session {
    /// Its address as `ip:port`.
    pub address: String,
    /// Region of its host.
    pub region: id::Region,
    /// Data centre of its host.
    pub data_centre: id::DataCentre,
    /// Whether it is draining.
    #[serde(default, skip_serializing_if = "is_false")]
    pub draining: bool,
    /// Version of the configuration that it has applied.
    pub applied: Version,
    /// Configuration versions applied by the entries that fetch their routes from it.
    pub entries: BTreeMap<id::Entry, Version>,
    /// Incremented at every renewal.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
}

impl Session {
    /// Key prefix of the session rows of all placers.
    pub const PREFIX: &str = "session/";

    /// Key of the session row of a placer.
    #[must_use]
    pub fn key(placer: &str) -> String {
        format!("{}{placer}", Self::PREFIX)
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature required by serde"
)]
fn is_false(value: &bool) -> bool {
    !*value
}
