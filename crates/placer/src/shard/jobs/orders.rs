//! What the owners of jobs ask of this rack.

use std::sync::Arc;

use cell::Stage;
use wire::{FencingToken, Gang, PlaceReply, PlaceRequest, Placement};

use super::Shard;
use crate::Node;

impl Shard {
    /// Places the tasks of an order on this rack.
    pub(crate) fn place(self: &Arc<Self>, node: &Arc<Node>, order: &PlaceRequest) -> PlaceReply {
        let now = node.now();
        let mut state = self.state();
        let active = state.ownership.stage() == Stage::Active;
        let Some(rack) = state.rack.as_mut().filter(|_| active) else {
            let placements = vec![Placement::NotOwner; order.tasks.len()];
            return PlaceReply {
                placements,
                digest: None,
            };
        };
        let (placed, commands) = rack.place(order, now);
        drop(state);
        self.carry_out(node, commands);
        placed
    }

    /// Starts a gang that is held on this rack.
    pub(crate) fn commit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        gang: &Gang,
    ) -> bool {
        self.obey(node, from, |rack, now| rack.commit(gang, now))
    }

    /// Gives up a gang on this rack.
    pub(crate) fn undo(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        gang: &Gang,
    ) -> bool {
        self.obey(node, from, |rack, now| Some(rack.abort(gang, now)))
    }

    /// Stops all tasks of a job on this rack.
    pub(crate) fn stop(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        team: &str,
        job: &str,
    ) -> bool {
        self.obey(node, from, |rack, now| Some(rack.stop_job(team, job, now)))
    }

    /// Does what the owner of a job asks, unless a later message of it was heard before; `false` if
    /// nothing was done.
    fn obey(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        act: impl FnOnce(&mut cell::Rack, cell::Now) -> Option<Vec<cell::Command>>,
    ) -> bool {
        let now = node.now();
        let mut state = self.state();
        let Some(rack) = &mut state.rack else {
            return false;
        };
        if !rack.accept_message(from) {
            return false;
        }
        let Some(commands) = act(rack, now) else {
            return false;
        };
        drop(state);
        self.carry_out(node, commands);
        true
    }
}
