//! The lagging list of hosts.

use async_trait::async_trait;
use resource::id;
use serde::{Deserialize, Serialize};

use crate::Error;

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostStatus {
    /// It is there.
    Live,
    /// It will go and should get no new work.
    Leaving,
}

/// One worker, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub name: id::Worker,
    /// The rack it stands in.
    pub rack: id::Rack,
    /// Its address, `ip:port`.
    pub address: String,
    /// Whether it is live or leaving.
    #[serde(rename = "standing")]
    pub status: HostStatus,
}

/// The platform's list of hosts.
#[async_trait]
pub trait Hosts: Send + Sync {
    /// All hosts of these racks, as of some seconds ago; all racks if none is named.
    ///
    /// # Errors
    /// [`Error::Down`] or [`Error::Lost`].
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<Host>, Error>;
}
