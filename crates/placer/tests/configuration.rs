//! Distribution of configurations: placers apply a new version within seconds and never an older
//! one after it.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use std::sync::Arc;

use cluster::{Cluster, cell_config, secs, wait_until};
use placer::Options;
use standin::Faults;
use wire::RouteQuery;

fn ask(applied: u64) -> RouteQuery {
    RouteQuery {
        entry: "e1".to_owned(),
        applied,
        generation: 0,
    }
}

fn queue(queue: u32) -> config::raw::Cell {
    let mut raw = cell_config(1, 3);
    raw.policy.queue = queue;
    raw
}

/// Every placer applies a new version within 5 s.
#[tokio::test(start_paused = true)]
async fn a_new_version_is_in_force_everywhere_within_seconds() {
    let mut cluster = Cluster::new(1, 3).await;
    for n in 1..=5 {
        cluster.start(&format!("p{n}"));
    }
    cluster.wait_for_owners(secs(10)).await;
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

/// A placer that starts while the table is down must fetch the configuration from its peers, and
/// must serve no routes before that.
#[tokio::test(start_paused = true)]
async fn a_placer_that_starts_in_an_outage_learns_from_its_peers() {
    let mut cluster = Cluster::new(1, 3).await;
    cluster.start("p1");
    cluster.wait_for_owners(secs(5)).await;
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

/// Guards against the use of an outdated configuration after a pause. p1 is paused, a new version
/// is accepted without it, the table goes down and p1 is resumed: it must neither serve routes nor
/// hand out its old version until its configuration is confirmed.
#[tokio::test(start_paused = true)]
async fn a_paused_placer_serves_nothing_until_its_configuration_is_confirmed() {
    let mut cluster = Cluster::new(1, 3).await;
    let first = cluster.start("p1");
    cluster.wait_for_owners(secs(5)).await;
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

/// p1 is cut off from the table when a new version is written: it must fetch the version from p2
/// and must not return to the old one afterwards.
#[tokio::test(start_paused = true)]
async fn a_placer_that_is_cut_off_from_the_table_learns_from_others() {
    let mut cluster = Cluster::new(1, 3).await;
    let first = cluster.start("p1");
    let second = cluster.start("p2");
    cluster.wait_for_owners(secs(10)).await;
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
