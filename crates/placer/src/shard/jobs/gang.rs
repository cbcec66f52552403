//! Starts gangs whole, or not at all.

use std::sync::Arc;

use cell::JobScheduler;
use resource::id;
use wire::{Gang, PlaceReply, PlaceRequest, Placement};

use super::Shard;
use crate::Node;

impl Shard {
    /// Holds room on all racks of a gang, then starts it; or lets go of everything.
    pub(super) async fn start_gang(
        self: &Arc<Self>,
        node: &Arc<Node>,
        gang: &Gang,
        orders: Vec<PlaceRequest>,
    ) {
        let mut held = Vec::new();
        for order in &orders {
            held.push(order.rack.clone());
            if !self.order(node, order.clone()).await {
                self.undo_gang(node, gang, &held).await;
                self.return_gang(&orders);
                return;
            }
        }
        for rack in &held {
            if !self.commit_on(node, rack, gang).await {
                self.undo_gang(node, gang, &held).await;
                self.with_desk(|desk| held.iter().for_each(|r| desk.mark_unknown(r, node.now())));
                return;
            }
        }
    }

    /// Members on racks that were not asked any more wait again.
    fn return_gang(&self, orders: &[PlaceRequest]) {
        for order in orders {
            let placements = vec![Placement::Full; order.tasks.len()];
            let full = PlaceReply {
                placements,
                digest: None,
            };
            self.with_desk(|desk| desk.order_answered(order, &full));
        }
    }

    async fn commit_on(self: &Arc<Self>, node: &Arc<Node>, rack: &str, gang: &Gang) -> bool {
        let Some(from) = self.with_desk(JobScheduler::next_serial) else {
            return false;
        };
        node.commit_at(rack, from, gang).await
    }

    pub(super) async fn undo_gang(
        self: &Arc<Self>,
        node: &Arc<Node>,
        gang: &Gang,
        racks: &[id::Rack],
    ) {
        for rack in racks {
            let Some(from) = self.with_desk(JobScheduler::next_serial) else {
                return;
            };
            node.undo_at(rack, from, gang).await;
        }
    }
}
