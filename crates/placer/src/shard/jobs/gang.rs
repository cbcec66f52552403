//! Starts gangs all-or-nothing.

use std::sync::Arc;

use cell::JobScheduler;
use resource::id;
use wire::{Gang, PlaceReply, PlaceRequest, Placement};

use super::Shard;
use crate::Node;

impl Shard {
    /// Holds capacity on all racks of a gang, then starts the gang. If a rack refuses or does not
    /// answer, aborts the gang on all racks that were asked to hold capacity for it.
    pub(super) async fn start_gang(
        self: &Arc<Self>,
        node: &Arc<Node>,
        gang: &Gang,
        requests: Vec<PlaceRequest>,
    ) {
        let mut held = Vec::new();
        for request in &requests {
            held.push(request.rack.clone());
            if !self.send_place_request(node, request.clone()).await {
                self.undo_gang(node, gang, &held).await;
                self.requeue_gang(&requests);
                return;
            }
        }
        for rack in &held {
            if !self.commit_on(node, rack, gang).await {
                self.undo_gang(node, gang, &held).await;
                self.with_scheduler(|scheduler| {
                    held.iter()
                        .for_each(|r| scheduler.mark_unknown(r, node.now()));
                });
                return;
            }
        }
    }

    /// Puts the members of a gang that was not placed back into the queue.
    fn requeue_gang(&self, requests: &[PlaceRequest]) {
        for request in requests {
            let placements = vec![Placement::Full; request.tasks.len()];
            let full = PlaceReply {
                placements,
                digest: None,
            };
            self.with_scheduler(|scheduler| scheduler.place_request_answered(request, &full));
        }
    }

    async fn commit_on(self: &Arc<Self>, node: &Arc<Node>, rack: &str, gang: &Gang) -> bool {
        let Some(from) = self.with_scheduler(JobScheduler::next_serial) else {
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
            let Some(from) = self.with_scheduler(JobScheduler::next_serial) else {
                return;
            };
            node.undo_at(rack, from, gang).await;
        }
    }
}
