//! The platform's list of hosts, which lags behind by some seconds.

use async_trait::async_trait;
use resource::id;
use serde::{Deserialize, Serialize};

use crate::Error;

/// Status of a host in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostStatus {
    /// It is in service.
    Live,
    /// It will be removed and should get no new work.
    Leaving,
}

/// A worker in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the worker.
    pub name: id::Worker,
    /// Rack in which it is located.
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
    /// Hosts of these racks, as of some seconds ago; hosts of all racks if `racks` is empty.
    ///
    /// # Errors
    /// [`Error::Down`] or [`Error::Lost`].
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<Host>, Error>;
}
