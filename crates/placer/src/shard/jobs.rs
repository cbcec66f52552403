//! Places tasks on the rack, and looks after the jobs that are at home in it.

mod gang;
mod intake;
mod news;
mod orders;
mod save;

use std::sync::Arc;
use std::time::Duration;

use cell::Dispatch;
use futures::future::join_all;
use wire::{PlaceRequest, Placement};

use super::Shard;
use crate::Node;
use crate::node::lock;

/// How often jobs are looked at when nothing happens.
const STEP: Duration = Duration::from_millis(400);
/// Shortest time between two rounds of placing, so that what comes together is placed together.
const ROUND: Duration = Duration::from_millis(5);
/// How often rows of jobs are written.
const SAVE_EVERY: Duration = Duration::from_millis(500);

/// Looks after jobs until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    let mut saved_at = Duration::ZERO;
    while shard.until_wanted(&node).await {
        tokio::select! {
            () = tokio::time::sleep(STEP) => {}
            () = shard.jobs_now.notified() => {}
            () = node.stop.ended() => return,
        }
        shard.tell_news(&node).await;
        if shard.state().desk.is_none() {
            tokio::time::sleep(ROUND).await;
            continue;
        }
        shard.place_waiting(&node).await;
        let now = node.now();
        if now >= saved_at + SAVE_EVERY {
            saved_at = now;
            shard.settle_doubts(&node).await;
            shard.stop_leftovers(&node).await;
            shard.save(&node).await;
        }
        tokio::time::sleep(ROUND).await;
    }
}

impl Shard {
    async fn place_waiting(self: &Arc<Self>, node: &Arc<Node>) {
        let Some(applied) = node.applied() else {
            return;
        };
        for digest in node.own_digests() {
            lock(&node.digests).update(&digest);
        }
        let plans = {
            let mut state = self.state();
            let Some(desk) = &mut state.desk else {
                return;
            };
            desk.schedule(&applied.cell, &mut lock(&node.digests))
        };
        let (gangs, orders): (Vec<Dispatch>, Vec<Dispatch>) = plans
            .into_iter()
            .partition(|plan| matches!(plan, Dispatch::Gang { .. }));
        let started = orders.into_iter().filter_map(|plan| match plan {
            Dispatch::Start(order) => Some(self.order(node, order)),
            Dispatch::Gang { .. } => None,
        });
        join_all(started).await;
        for plan in gangs {
            if let Dispatch::Gang { gang, orders } = plan {
                self.start_gang(node, &gang, orders).await;
            }
        }
    }

    /// Sends an order to the owner of its rack; `true` if every task was placed.
    async fn order(self: &Arc<Self>, node: &Arc<Node>, order: PlaceRequest) -> bool {
        let Some(placed) = node.place_at(&order).await else {
            self.with_desk(|desk| desk.mark_unknown(&order.rack, node.now()));
            return false;
        };
        match &placed.digest {
            Some(digest) => lock(&node.digests).update(digest),
            None => lock(&node.digests).remove(&order.rack),
        }
        metrics::counter!("lentilyoke_placements_total").increment(
            placed
                .placements
                .iter()
                .filter(|p| **p == Placement::Placed)
                .count() as u64,
        );
        self.with_desk(|desk| desk.order_answered(&order, &placed));
        placed.placements.iter().all(|p| *p == Placement::Placed)
    }
}
