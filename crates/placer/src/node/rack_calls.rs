//! Calls to the owner of a rack, local or remote.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use resource::id;
use wire::{Event, FencingToken, Gang, PlaceReply, PlaceRequest, Placement};

use super::Node;
use crate::{PeerError, Shard};

/// Timeout after which the outcome of a call counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Owner of a rack.
enum RackOwner {
    Unowned,
    Local(Arc<Shard>),
    Remote(String),
}

impl Node {
    /// Places the tasks of a request; `None` if no answer came.
    pub(crate) async fn place_at(self: &Arc<Self>, request: &PlaceRequest) -> Option<PlaceReply> {
        match self.locate(&request.rack) {
            RackOwner::Unowned => {
                let placements = vec![Placement::NotOwner; request.tasks.len()];
                Some(PlaceReply {
                    placements,
                    digest: None,
                })
            }
            RackOwner::Local(shard) => Some(shard.place(self, request)),
            RackOwner::Remote(address) => {
                with_timeout(self.peers.place(&address, request.clone())).await
            }
        }
    }

    /// Starts a gang for which a rack holds capacity.
    pub(crate) async fn commit_at(
        self: &Arc<Self>,
        rack: &str,
        from: FencingToken,
        gang: &Gang,
    ) -> bool {
        match self.locate(rack) {
            RackOwner::Unowned => false,
            RackOwner::Local(shard) => shard.commit(self, &from, gang),
            RackOwner::Remote(address) => {
                acknowledged(
                    self.peers
                        .commit(&address, rack.to_owned(), from, gang.clone()),
                )
                .await
            }
        }
    }

    /// Aborts a gang on a rack.
    pub(crate) async fn undo_at(
        self: &Arc<Self>,
        rack: &str,
        from: FencingToken,
        gang: &Gang,
    ) -> bool {
        match self.locate(rack) {
            RackOwner::Unowned => false,
            RackOwner::Local(shard) => shard.undo(self, &from, gang),
            RackOwner::Remote(address) => {
                acknowledged(
                    self.peers
                        .undo(&address, rack.to_owned(), from, gang.clone()),
                )
                .await
            }
        }
    }

    /// Stops all tasks of a job on a rack.
    pub(crate) async fn stop_at(
        self: &Arc<Self>,
        rack: &str,
        from: FencingToken,
        (team, job): (id::Team, id::Job),
    ) -> bool {
        match self.locate(rack) {
            RackOwner::Unowned => false,
            RackOwner::Local(shard) => shard.stop(self, &from, &team, &job),
            RackOwner::Remote(address) => {
                acknowledged(
                    self.peers
                        .stop(&address, rack.to_owned(), from, (team, job)),
                )
                .await
            }
        }
    }

    /// Reports task events to the owner of a home rack; `true` if it accepted them.
    pub(crate) async fn report_to(self: &Arc<Self>, home: &str, events: Vec<Event>) -> bool {
        match self.locate(home) {
            RackOwner::Unowned => false,
            RackOwner::Local(shard) => shard.receive_events(&events),
            RackOwner::Remote(address) => {
                acknowledged(self.peers.report(&address, home.to_owned(), events)).await
            }
        }
    }

    /// The tasks that the racks of all placers hold for the jobs of one home rack.
    pub(crate) async fn collect_inventories(&self, from: &FencingToken) -> Vec<wire::Inventory> {
        let mut all = self.inventory(from);
        let others = self
            .live_addresses()
            .into_iter()
            .filter(|a| *a != self.options.address);
        let calls = others.map(|address| {
            let from = from.clone();
            async move { with_timeout(self.peers.inventory(&address, from)).await }
        });
        let others = futures::future::join_all(calls).await;
        all.extend(others.into_iter().flatten().flatten());
        all
    }

    fn locate(&self, rack: &str) -> RackOwner {
        let Some(address) = self.owner(rack) else {
            return RackOwner::Unowned;
        };
        if address != self.options.address {
            return RackOwner::Remote(address);
        }
        self.shard(rack)
            .map_or(RackOwner::Unowned, RackOwner::Local)
    }
}

async fn with_timeout<T>(call: impl Future<Output = Result<T, PeerError>>) -> Option<T> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok()?.ok()
}

async fn acknowledged(call: impl Future<Output = Result<bool, PeerError>>) -> bool {
    with_timeout(call).await == Some(true)
}
