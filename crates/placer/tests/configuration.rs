//! Configurations as placers apply them: in force within seconds, never an older one again.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use std::sync::Arc;

use cluster::{Cluster, cell_of, secs, wait_until};
use placer::Options;
use standin::Faults;
use wire::Ask;

fn ask(applied: u64) -> Ask {
    Ask {
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
    let mut cluster = Cluster::new(1, 3).await;
    for n in 1..=5 {
        cluster.start(&format!("p{n}"));
    }
    cluster.settle(secs(10)).await;
    let version = cluster.configure(&queue(99)).await;
    let applied = || {
        cluster
            .placers
            .values()
            .all(|p| p.node.status().config == version)
    };
    wait_until(secs(5), applied).await;
    cluster.end().await;
}

/// Callers see: service, after some seconds. p2 starts while the table is down; it learns the
/// configuration from p1 and gives its entries none before that.
#[tokio::test(start_paused = true)]
async fn a_placer_that_starts_in_an_outage_learns_from_its_peers() {
    let mut cluster = Cluster::new(1, 3).await;
    cluster.start("p1");
    cluster.settle(secs(5)).await;
    let version = cluster.configure(&queue(99)).await;
    wait_until(secs(5), || {
        cluster.placers["p1"].node.status().config == version
    })
    .await;
    cluster.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let mut options = Options::new("p2", "p2").with_location("north", "north-1");
    options.peers = vec!["p1".to_owned()];
    let second = cluster.start_with(options);
    assert!(second.routes(&ask(0)).is_none());
    wait_until(secs(5), || second.status().config == version).await;
    assert_eq!(second.routes(&ask(0)).unwrap().config.unwrap().0, version);
    cluster.end().await;
}

/// Callers see: no answer under the old configuration. p1 is paused, a new version is accepted
/// without it, the table goes down, and p1 goes on: it neither serves nor gives its old version
/// away, until it has heard of it or of a newer one.
#[tokio::test(start_paused = true)]
async fn a_placer_that_was_paused_gives_nothing_away_until_it_has_heard() {
    let mut cluster = Cluster::new(1, 3).await;
    let first = cluster.start("p1");
    cluster.settle(secs(5)).await;
    let old = first.status().config;
    cluster.placers["p1"].faults.pause();
    tokio::time::sleep(secs(10)).await;
    let version = cluster.configure(&queue(99)).await;
    cluster.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.placers["p1"].faults.resume();
    tokio::time::sleep(secs(5)).await;
    assert_eq!(first.status().config, old);
    assert!(first.routes(&ask(0)).is_none());
    assert!(first.config_at_least(0).is_none());
    cluster.platform.set(Faults::default());
    wait_until(secs(5), || first.status().config == version).await;
    assert!(first.routes(&ask(0)).is_some());
    cluster.end().await;
}

/// Operators see: the new version stays. p1 is cut off from the table when the new version is
/// written; it learns it from p2, and neither ever goes back.
#[tokio::test(start_paused = true)]
async fn a_placer_that_is_cut_off_from_the_table_learns_from_others() {
    let mut cluster = Cluster::new(1, 3).await;
    let first = cluster.start("p1");
    let second = cluster.start("p2");
    cluster.settle(secs(10)).await;
    tokio::time::sleep(secs(3)).await;
    cluster.placers["p1"].faults.cut_table(true);
    let version = cluster.configure(&queue(99)).await;
    wait_until(secs(5), || first.status().config == version).await;
    wait_until(secs(5), || second.status().config == version).await;
    cluster.placers["p1"].faults.cut_table(false);
    tokio::time::sleep(secs(10)).await;
    assert_eq!(first.status().config, version);
    drop(Arc::clone(&first));
    cluster.end().await;
}
