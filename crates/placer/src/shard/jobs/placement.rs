//! Requests from the owners of jobs to this rack.

use std::sync::Arc;

use cell::Stage;
use wire::{FencingToken, Gang, PlaceReply, PlaceRequest, Placement};

use super::Shard;
use crate::Node;

impl Shard {
    /// Places the tasks of a request on this rack.
    pub(crate) fn place(self: &Arc<Self>, node: &Arc<Node>, request: &PlaceRequest) -> PlaceReply {
        let now = node.now();
        let mut state = self.state();
        let active = state.ownership.stage() == Stage::Active;
        let Some(rack) = state.rack.as_mut().filter(|_| active) else {
            let placements = vec![Placement::NotOwner; request.tasks.len()];
            return PlaceReply {
                placements,
                digest: None,
            };
        };
        let (placed, commands) = rack.place(request, now);
        drop(state);
        self.execute_commands(node, commands);
        placed
    }

    /// Starts a gang for which this rack holds capacity.
    pub(crate) fn commit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        gang: &Gang,
    ) -> bool {
        self.execute_if_current(node, from, |rack, now| rack.commit(gang, now))
    }

    /// Aborts a gang on this rack.
    pub(crate) fn undo(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        gang: &Gang,
    ) -> bool {
        self.execute_if_current(node, from, |rack, now| Some(rack.abort(gang, now)))
    }

    /// Stops all tasks of a job on this rack.
    pub(crate) fn stop(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &FencingToken,
        team: &str,
        job: &str,
    ) -> bool {
        self.execute_if_current(node, from, |rack, now| Some(rack.stop_job(team, job, now)))
    }

    /// Executes a request of a job's owner, unless a later message of that owner was received
    /// before; `false` if nothing was done.
    fn execute_if_current(
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
        self.execute_commands(node, commands);
        true
    }
}
