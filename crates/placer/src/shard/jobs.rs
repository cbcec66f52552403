//! Places tasks on the rack and manages the jobs whose home it is.

mod events;
mod gang;
mod persistence;
mod placement;
mod submission;

use std::sync::Arc;
use std::time::Duration;

use cell::Dispatch;
use futures::future::join_all;
use wire::{PlaceRequest, Placement};

use super::Shard;
use crate::Node;
use crate::node::lock;

/// Interval of the job loop when nothing wakes it.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two rounds, so that jobs that arrive together are placed together.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum interval between writes of job rows.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Manages jobs until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    let mut saved_at = Duration::ZERO;
    while shard.wait_while_watching(&node).await {
        tokio::select! {
            () = tokio::time::sleep(IDLE_INTERVAL) => {}
            () = shard.jobs_changed.notified() => {}
            () = node.shutdown.ended() => return,
        }
        shard.report_events(&node).await;
        if shard.state().scheduler.is_none() {
            tokio::time::sleep(MIN_ROUND_INTERVAL).await;
            continue;
        }
        shard.place_tasks(&node).await;
        let now = node.now();
        if now >= saved_at + SAVE_INTERVAL {
            saved_at = now;
            shard.reconcile_inventory(&node).await;
            shard.stop_leftovers(&node).await;
            shard.save(&node).await;
        }
        tokio::time::sleep(MIN_ROUND_INTERVAL).await;
    }
}

impl Shard {
    async fn place_tasks(self: &Arc<Self>, node: &Arc<Node>) {
        let Some(applied) = node.active_config() else {
            return;
        };
        for digest in node.local_digests() {
            lock(&node.digests).update(&digest);
        }
        let dispatches = {
            let mut state = self.state();
            let Some(scheduler) = &mut state.scheduler else {
                return;
            };
            scheduler.schedule(&applied.cell, &mut lock(&node.digests))
        };
        let (gangs, single): (Vec<Dispatch>, Vec<Dispatch>) = dispatches
            .into_iter()
            .partition(|dispatch| matches!(dispatch, Dispatch::Gang { .. }));
        let started = single.into_iter().filter_map(|dispatch| match dispatch {
            Dispatch::Start(request) => Some(self.send_place_request(node, request)),
            Dispatch::Gang { .. } => None,
        });
        join_all(started).await;
        for dispatch in gangs {
            if let Dispatch::Gang { gang, requests } = dispatch {
                self.start_gang(node, &gang, requests).await;
            }
        }
    }

    /// Sends a place request to the owner of its rack; `true` if all its tasks were placed.
    async fn send_place_request(self: &Arc<Self>, node: &Arc<Node>, request: PlaceRequest) -> bool {
        let Some(placed) = node.place_at(&request).await else {
            self.with_scheduler(|scheduler| scheduler.mark_unknown(&request.rack, node.now()));
            return false;
        };
        match &placed.digest {
            Some(digest) => lock(&node.digests).update(digest),
            None => lock(&node.digests).remove(&request.rack),
        }
        metrics::counter!("lentilyoke_placements_total").increment(
            placed
                .placements
                .iter()
                .filter(|p| **p == Placement::Placed)
                .count() as u64,
        );
        self.with_scheduler(|scheduler| scheduler.place_request_answered(&request, &placed));
        placed.placements.iter().all(|p| *p == Placement::Placed)
    }
}
