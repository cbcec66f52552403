//! Configurations as placers apply them: in force within seconds, never an older one again.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod world;

use std::sync::Arc;

use placer::Options;
use standin::Faults;
use wire::RouteQuery;
use world::{World, cell_of, secs, until};

fn ask(applied: u64) -> RouteQuery {
    RouteQuery {
        entry: "e1".to_owned(),
        applied,
        generation: 0,
    }
}

fn queue(queue: u32) -> config::raw::Cell {
    let mut raw = cell_of(1, 3);
    raw.policy.queue = queue;
    raw
}

/// Operators see: a new version in every placer within 5 s.
#[tokio::test(start_paused = true)]
async fn a_new_version_is_in_force_everywhere_within_seconds() {
    let mut world = World::new(1, 3).await;
    for n in 1..=5 {
        world.start(&format!("p{n}"));
    }
    world.settle(secs(10)).await;
    let version = world.configure(&queue(99)).await;
    let applied = || {
        world
            .placers
            .values()
            .all(|p| p.node.status().config == version)
    };
    until(secs(5), applied).await;
    world.end().await;
}

/// Callers see: service, after some seconds. p2 starts while the table is down; it learns the
/// configuration from p1 and gives its entries none before that.
#[tokio::test(start_paused = true)]
async fn a_placer_that_starts_in_an_outage_learns_from_its_peers() {
    let mut world = World::new(1, 3).await;
    world.start("p1");
    world.settle(secs(5)).await;
    let version = world.configure(&queue(99)).await;
    until(secs(5), || {
        world.placers["p1"].node.status().config == version
    })
    .await;
    world.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let mut options = Options::new("p2", "p2").place("north", "north-1");
    options.peers = vec!["p1".to_owned()];
    let second = world.start_with(options);
    assert!(second.routes(&ask(0)).is_none());
    until(secs(5), || second.status().config == version).await;
    assert_eq!(second.routes(&ask(0)).unwrap().config.unwrap().0, version);
    world.end().await;
}

/// Callers see: no answer under the old configuration. p1 is paused, a new version is accepted
/// without it, the table goes down, and p1 goes on: it neither serves nor gives its old version
/// away, until it has heard of it or of a newer one.
#[tokio::test(start_paused = true)]
async fn a_placer_that_was_paused_gives_nothing_away_until_it_has_heard() {
    let mut world = World::new(1, 3).await;
    let first = world.start("p1");
    world.settle(secs(5)).await;
    let old = first.status().config;
    world.placers["p1"].faults.pause();
    tokio::time::sleep(secs(10)).await;
    let version = world.configure(&queue(99)).await;
    world.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    world.placers["p1"].faults.thaw();
    tokio::time::sleep(secs(5)).await;
    assert_eq!(first.status().config, old);
    assert!(first.routes(&ask(0)).is_none());
    assert!(first.config_than(0).is_none());
    world.platform.set(Faults::default());
    until(secs(5), || first.status().config == version).await;
    assert!(first.routes(&ask(0)).is_some());
    world.end().await;
}

/// Operators see: the new version stays. p1 is cut off from the table when the new version is
/// written; it learns it from p2, and neither ever goes back.
#[tokio::test(start_paused = true)]
async fn a_placer_that_is_cut_off_from_the_table_learns_from_others() {
    let mut world = World::new(1, 3).await;
    let first = world.start("p1");
    let second = world.start("p2");
    world.settle(secs(10)).await;
    tokio::time::sleep(secs(3)).await;
    world.placers["p1"].faults.cut_table(true);
    let version = world.configure(&queue(99)).await;
    until(secs(5), || first.status().config == version).await;
    until(secs(5), || second.status().config == version).await;
    world.placers["p1"].faults.cut_table(false);
    tokio::time::sleep(secs(10)).await;
    assert_eq!(first.status().config, version);
    drop(Arc::clone(&first));
    world.end().await;
}
