//! The API of a placer for entries, other placers and operators.

use std::sync::Arc;

use async_trait::async_trait;
use config::{Version, raw};
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObject;
use resource::id;
use wire::rpc::PlacerServer;
use wire::{
    Answer, Claim, ClaimOutcome, Digest, Event, Fault, FencingToken, Gang, Inventory, Job, Kind,
    PlaceReply, PlaceRequest, Placement, Request, RouteQuery, Routes, State, Status,
};

use crate::{Node, Shard};

/// Error code: the placer has not confirmed that its configuration is in force.
const CONFIG_NOT_CONFIRMED: i32 = -32_001;

/// Serves the calls to one placer.
pub struct Server {
    node: Arc<Node>,
}

impl Server {
    /// Creates the server of this placer.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn home_shard(&self, home: &str) -> Result<Arc<Shard>, Fault> {
        if self.node.shutdown.is_draining() {
            return Err(Fault::new(Kind::Draining, "the placer is stopping"));
        }
        let shard = self.node.shard(home);
        shard.ok_or_else(|| Fault::new(Kind::NotOwner, "there is no such rack"))
    }
}

#[async_trait]
impl PlacerServer for Server {
    async fn run(&self, rack: id::Rack, request: Request) -> RpcResult<Answer> {
        let Some(shard) = self.node.shard(&rack) else {
            return Ok(Answer::fault(Kind::NotOwner, "there is no such rack"));
        };
        Ok(shard.run(Arc::clone(&self.node), request).await)
    }

    async fn submit(&self, home: id::Rack, job: Job) -> RpcResult<Result<State, Fault>> {
        Ok(match self.home_shard(&home) {
            Ok(shard) => shard.submit(&self.node, job).await,
            Err(fault) => Err(fault),
        })
    }

    async fn watch(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>> {
        Ok(self
            .home_shard(&home)
            .and_then(|shard| shard.watch(&team, &job)))
    }

    async fn cancel(
        &self,
        home: id::Rack,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<Result<State, Fault>> {
        Ok(match self.home_shard(&home) {
            Ok(shard) => shard.cancel(&self.node, &team, &job).await,
            Err(fault) => Err(fault),
        })
    }

    async fn routes(&self, query: RouteQuery) -> RpcResult<Routes> {
        let routes = self.node.routes(&query);
        routes.ok_or_else(|| ErrorObject::owned(CONFIG_NOT_CONFIRMED, "not fresh", None::<()>))
    }

    async fn place(&self, request: PlaceRequest) -> RpcResult<PlaceReply> {
        let shard = self.node.shard(&request.rack);
        let refused = || {
            let placements = vec![Placement::NotOwner; request.tasks.len()];
            PlaceReply {
                placements,
                digest: None,
            }
        };
        Ok(shard.map_or_else(refused, |shard| shard.place(&self.node, &request)))
    }

    async fn commit(&self, rack: id::Rack, from: FencingToken, gang: Gang) -> RpcResult<bool> {
        let shard = self.node.shard(&rack);
        Ok(shard.is_some_and(|shard| shard.commit(&self.node, &from, &gang)))
    }

    async fn undo(&self, rack: id::Rack, from: FencingToken, gang: Gang) -> RpcResult<bool> {
        let shard = self.node.shard(&rack);
        Ok(shard.is_some_and(|shard| shard.undo(&self.node, &from, &gang)))
    }

    async fn stop(
        &self,
        rack: id::Rack,
        from: FencingToken,
        team: id::Team,
        job: id::Job,
    ) -> RpcResult<bool> {
        let shard = self.node.shard(&rack);
        Ok(shard.is_some_and(|shard| shard.stop(&self.node, &from, &team, &job)))
    }

    async fn inventory(&self, from: FencingToken) -> RpcResult<Vec<Inventory>> {
        Ok(self.node.inventory(&from))
    }

    async fn report(&self, home: id::Rack, events: Vec<Event>) -> RpcResult<bool> {
        let shard = self.node.shard(&home);
        Ok(shard.is_some_and(|shard| shard.receive_events(&events)))
    }

    async fn digests(&self) -> RpcResult<Vec<Digest>> {
        Ok(self.node.local_digests())
    }

    async fn claim(&self, claims: Vec<Claim>) -> RpcResult<Vec<ClaimOutcome>> {
        Ok(self.node.claims.write(claims).await)
    }

    async fn config(&self, min_version: Version) -> RpcResult<Option<(Version, raw::Cell)>> {
        Ok(self.node.config_at_least(min_version))
    }

    async fn status(&self) -> RpcResult<Status> {
        Ok(self.node.status())
    }

    async fn drain(&self) -> RpcResult<bool> {
        self.node.shutdown.drain();
        Ok(true)
    }
}
