//! The calls of the inner protocol.
//!
//! A JSON-RPC error means that the call itself failed; everything that can go wrong with what was
//! asked travels as a [`Fault`](crate::Fault) inside the result.

use config::{Version, raw};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use resource::id;

use crate::{
    Answer, Ask, Claim, Digest, Event, Fault, Gang, Inventory, Job, Order, Placed, Request, Routes,
    Seniority, State, Status, Verdict,
};

/// What a placer offers to entries, to other placers and to operators.
#[rpc(client, server)]
pub trait Placer {
    /// Runs one quick request on a rack.
    #[method(name = "run")]
    async fn run(&self, rack: id::Rack, request: Request) -> RpcResult<Answer>;

    /// Takes a job; asking again with the same job is safe.
    #[method(name = "submit")]
    async fn submit(&self, home: id::Rack, job: Job) -> RpcResult<Result<State, Fault>>;

    /// Tells where a job stands.
    #[method(name = "watch")]
    async fn watch(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>>;

    /// Withdraws a job.
    #[method(name = "cancel")]
    async fn cancel(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>>;

    /// Tells an entry who owns what.
    #[method(name = "routes")]
    async fn routes(&self, ask: Ask) -> RpcResult<Routes>;

    /// Places tasks on a rack.
    #[method(name = "place")]
    async fn place(&self, order: Order) -> RpcResult<Placed>;

    /// Starts a gang that was held.
    #[method(name = "commit")]
    async fn commit(&self, rack: id::Rack, from: Seniority, gang: Gang) -> RpcResult<bool>;

    /// Gives up a gang: lets go of what is held, stops what was started.
    #[method(name = "undo")]
    async fn undo(&self, rack: id::Rack, from: Seniority, gang: Gang) -> RpcResult<bool>;

    /// Stops tasks of a job.
    #[method(name = "stop")]
    async fn stop(
        &self,
        rack: id::Rack,
        from: Seniority,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<bool>;

    /// Lists what the asked placer's racks hold of the jobs of one home rack.
    #[method(name = "inventory")]
    async fn inventory(&self, from: Seniority) -> RpcResult<Vec<Inventory>>;

    /// Tells the owner of a home rack what became of its tasks; `false` if it is not the owner.
    #[method(name = "report")]
    async fn report(&self, home: id::Rack, events: Vec<Event>) -> RpcResult<bool>;

    /// Room in the asked placer's racks.
    #[method(name = "digests")]
    async fn digests(&self) -> RpcResult<Vec<Digest>>;

    /// Writes claims to the platform's table, together with those of others.
    #[method(name = "claim")]
    async fn claim(&self, claims: Vec<Claim>) -> RpcResult<Vec<Verdict>>;

    /// The configuration that the asked placer applies, if it is newer than this version.
    #[method(name = "config")]
    async fn config(&self, than: Version) -> RpcResult<Option<(Version, raw::Cell)>>;

    /// State of the asked placer.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Asks the placer to hand over its racks and stop.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<bool>;
}
