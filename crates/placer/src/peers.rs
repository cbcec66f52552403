//! How a placer reaches other placers.

use async_trait::async_trait;
use config::{Version, raw};
use resource::id;
use wire::{
    Claim, ClaimOutcome, Digest, Event, FencingToken, Gang, Inventory, PlaceReply, PlaceRequest,
};

/// A call to another placer brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unreached {
    /// Its port refuses connections: no process is there, and nothing was sent.
    Gone,
    /// It may have had its effect.
    NoAnswer,
}

/// The calls that placers make to each other; `address` is the other's `ip:port`.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Places tasks on a rack.
    async fn place(&self, address: &str, order: PlaceRequest) -> Result<PlaceReply, Unreached>;
    /// Starts a gang that was held.
    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached>;
    /// Gives up a gang.
    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached>;
    /// Stops all tasks of a job on a rack.
    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, Unreached>;
    /// Lists what the other's racks hold of the jobs of one home rack.
    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, Unreached>;
    /// Tells the owner of a home rack what became of its tasks.
    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, Unreached>;
    /// The configuration that the other applies, if it is newer than this version.
    async fn config(
        &self,
        address: &str,
        than: Version,
    ) -> Result<Option<(Version, raw::Cell)>, Unreached>;
    /// Room in the other's racks.
    async fn digests(&self, address: &str) -> Result<Vec<Digest>, Unreached>;
    /// Writes claims to the table, together with those of others.
    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, Unreached>;
}
