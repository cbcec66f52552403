//! Calls to the owner of a rack, here or elsewhere.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use resource::id;
use wire::{Event, FencingToken, Gang, PlaceReply, PlaceRequest, Placement};

use super::Node;
use crate::{Shard, Unreached};

/// A call that is not answered by then is in doubt.
const ANSWER: Duration = Duration::from_millis(800);

/// Where a rack's owner is.
enum Owner {
    Nobody,
    Here(Arc<Shard>),
    There(String),
}

impl Node {
    /// Places the tasks of an order; `None` if there was no answer.
    pub(crate) async fn place_at(self: &Arc<Self>, order: &PlaceRequest) -> Option<PlaceReply> {
        match self.find(&order.rack) {
            Owner::Nobody => {
                let placements = vec![Placement::NotOwner; order.tasks.len()];
                Some(PlaceReply {
                    placements,
                    digest: None,
                })
            }
            Owner::Here(shard) => Some(shard.place(self, order)),
            Owner::There(address) => answer(self.peers.place(&address, order.clone())).await,
        }
    }

    /// Starts a gang that is held on a rack.
    pub(crate) async fn commit_at(
        self: &Arc<Self>,
        rack: &str,
        from: FencingToken,
        gang: &Gang,
    ) -> bool {
        match self.find(rack) {
            Owner::Nobody => false,
            Owner::Here(shard) => shard.commit(self, &from, gang),
            Owner::There(address) => {
                agreed(
                    self.peers
                        .commit(&address, rack.to_owned(), from, gang.clone()),
                )
                .await
            }
        }
    }

    /// Gives up a gang on a rack.
    pub(crate) async fn undo_at(
        self: &Arc<Self>,
        rack: &str,
        from: FencingToken,
        gang: &Gang,
    ) -> bool {
        match self.find(rack) {
            Owner::Nobody => false,
            Owner::Here(shard) => shard.undo(self, &from, gang),
            Owner::There(address) => {
                agreed(
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
        match self.find(rack) {
            Owner::Nobody => false,
            Owner::Here(shard) => shard.stop(self, &from, &team, &job),
            Owner::There(address) => {
                agreed(
                    self.peers
                        .stop(&address, rack.to_owned(), from, (team, job)),
                )
                .await
            }
        }
    }

    /// Tells the owner of a home rack what became of its tasks; `true` if it has taken note.
    pub(crate) async fn report_to(self: &Arc<Self>, home: &str, events: Vec<Event>) -> bool {
        match self.find(home) {
            Owner::Nobody => false,
            Owner::Here(shard) => shard.hear(&events),
            Owner::There(address) => {
                agreed(self.peers.report(&address, home.to_owned(), events)).await
            }
        }
    }

    /// What the racks of all placers hold of the jobs of one home rack.
    pub(crate) async fn inventories(&self, from: &FencingToken) -> Vec<wire::Inventory> {
        let mut all = self.inventory(from);
        let others = self
            .everyone()
            .into_iter()
            .filter(|a| *a != self.options.address);
        let asked = others.map(|address| {
            let from = from.clone();
            async move { answer(self.peers.inventory(&address, from)).await }
        });
        let others = futures::future::join_all(asked).await;
        all.extend(others.into_iter().flatten().flatten());
        all
    }

    fn find(&self, rack: &str) -> Owner {
        let Some(address) = self.owner(rack) else {
            return Owner::Nobody;
        };
        if address != self.options.address {
            return Owner::There(address);
        }
        self.shard(rack).map_or(Owner::Nobody, Owner::Here)
    }
}

async fn answer<T>(call: impl Future<Output = Result<T, Unreached>>) -> Option<T> {
    tokio::time::timeout(ANSWER, call).await.ok()?.ok()
}

async fn agreed(call: impl Future<Output = Result<bool, Unreached>>) -> bool {
    answer(call).await == Some(true)
}
