//! Calls from a placer to other placers.

use async_trait::async_trait;
use config::{Version, raw};
use resource::id;
use wire::{
    Claim, ClaimOutcome, Digest, Event, FencingToken, Gang, Inventory, PlaceReply, PlaceRequest,
};

/// Why a call to another placer brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// Its port refuses connections: no process listens there, and nothing was sent.
    ConnectionRefused,
    /// No answer arrived; the call may have taken effect.
    NoAnswer,
}

/// Calls between placers; `address` is the `ip:port` of the other one.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Places tasks on a rack.
    async fn place(&self, address: &str, request: PlaceRequest) -> Result<PlaceReply, PeerError>;
    /// Starts a gang for which capacity is held.
    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError>;
    /// Aborts a gang: releases the capacity held for it and stops its started tasks.
    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError>;
    /// Stops all tasks of a job on a rack.
    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, PeerError>;
    /// Lists the tasks that the other's racks hold for the jobs of one home rack.
    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, PeerError>;
    /// Reports task events to the owner of the jobs' home rack; `true` if it accepted them.
    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, PeerError>;
    /// The configuration that the other has confirmed, if it has at least this version.
    async fn config(
        &self,
        address: &str,
        min_version: Version,
    ) -> Result<Option<(Version, raw::Cell)>, PeerError>;
    /// Free capacity of the other's racks.
    async fn digests(&self, address: &str) -> Result<Vec<Digest>, PeerError>;
    /// Writes claims to the table, batched with those of other placers.
    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, PeerError>;
}
