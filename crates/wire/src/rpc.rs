//! The calls of the internal protocol.
//!
//! A JSON-RPC error means that the call itself failed; errors of the requested operation are
//! returned as a [`Fault`] inside the result.

use config::{Version, raw};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use resource::id;

use crate::{
    Answer, Claim, ClaimOutcome, Digest, Event, Fault, FencingToken, Gang, Inventory, Job,
    PlaceReply, PlaceRequest, Request, RouteQuery, Routes, State, Status,
};

/// The interface of a placer to entries, other placers and operators.
#[rpc(client, server)]
pub trait Placer {
    /// Runs one quick request on a rack.
    #[method(name = "run")]
    async fn run(&self, rack: id::Rack, request: Request) -> RpcResult<Answer>;

    /// Submits a job; submitting the same job again is safe.
    #[method(name = "submit")]
    async fn submit(&self, home: id::Rack, job: Job) -> RpcResult<Result<State, Fault>>;

    /// Returns the state of a job.
    #[method(name = "watch")]
    async fn watch(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>>;

    /// Cancels a job.
    #[method(name = "cancel")]
    async fn cancel(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>>;

    /// Returns the owners of racks to an entry.
    #[method(name = "routes")]
    async fn routes(&self, ask: RouteQuery) -> RpcResult<Routes>;

    /// Places tasks on a rack.
    #[method(name = "place")]
    async fn place(&self, order: PlaceRequest) -> RpcResult<PlaceReply>;

    /// Starts a gang for which capacity was reserved.
    #[method(name = "commit")]
    async fn commit(&self, rack: id::Rack, from: FencingToken, gang: Gang) -> RpcResult<bool>;

    /// Aborts a gang: releases the capacity held for it and stops its started tasks.
    #[method(name = "undo")]
    async fn undo(&self, rack: id::Rack, from: FencingToken, gang: Gang) -> RpcResult<bool>;

    /// Stops the tasks of a job that are placed on a rack.
    #[method(name = "stop")]
    async fn stop(
        &self,
        rack: id::Rack,
        from: FencingToken,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<bool>;

    /// Lists the attempts of one home rack's jobs that are placed on this placer's racks.
    #[method(name = "inventory")]
    async fn inventory(&self, from: FencingToken) -> RpcResult<Vec<Inventory>>;

    /// Reports state changes of tasks to the owner of their home rack; `false` if the receiver is not the owner.
    #[method(name = "report")]
    async fn report(&self, home: id::Rack, events: Vec<Event>) -> RpcResult<bool>;

    /// Returns the free capacity of this placer's racks.
    #[method(name = "digests")]
    async fn digests(&self) -> RpcResult<Vec<Digest>>;

    /// Writes claims to the platform's table, batched with claims of other placers.
    #[method(name = "claim")]
    async fn claim(&self, claims: Vec<Claim>) -> RpcResult<Vec<ClaimOutcome>>;

    /// Returns the configuration that this placer has confirmed, if its version is `than`
    /// or a newer one.
    #[method(name = "config")]
    async fn config(&self, than: Version) -> RpcResult<Option<(Version, raw::Cell)>>;

    /// Returns the state of this placer.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Requests that this placer hand over its racks and stop.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<bool>;
}
