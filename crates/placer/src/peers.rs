//! How a placer reaches other placers.

use async_trait::async_trait;
use config::{Version, raw};
use resource::id;
use wire::{Claim, Digest, Event, Gang, Inventory, Order, Placed, Seniority, Verdict};

/// A call to another placer brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// Its port refuses connections: no process is there, and nothing was sent.
    ConnectionRefused,
    /// It may have had its effect.
    NoAnswer,
}

/// The calls that placers make to each other; `address` is the other's `ip:port`.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Places tasks on a rack.
    async fn place(&self, address: &str, order: Order) -> Result<Placed, PeerError>;
    /// Starts a gang that was held.
    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: Seniority,
        gang: Gang,
    ) -> Result<bool, PeerError>;
    /// Gives up a gang.
    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: Seniority,
        gang: Gang,
    ) -> Result<bool, PeerError>;
    /// Stops all tasks of a job on a rack.
    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: Seniority,
        job: (id::Team, id::Job),
    ) -> Result<bool, PeerError>;
    /// Lists what the other's racks hold of the jobs of one home rack.
    async fn inventory(&self, address: &str, from: Seniority) -> Result<Vec<Inventory>, PeerError>;
    /// Tells the owner of a home rack what became of its tasks.
    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, PeerError>;
    /// The configuration that the other applies, if it is newer than this version.
    async fn config(
        &self,
        address: &str,
        min_version: Version,
    ) -> Result<Option<(Version, raw::Cell)>, PeerError>;
    /// Room in the other's racks.
    async fn digests(&self, address: &str) -> Result<Vec<Digest>, PeerError>;
    /// Writes claims to the table, together with those of others.
    async fn claim(&self, address: &str, claims: Vec<Claim>) -> Result<Vec<Verdict>, PeerError>;
}
