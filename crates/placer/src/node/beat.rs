//! The beat: renews the session row, reads the table, decides which racks to own.

use std::sync::Arc;
use std::time::Duration;

use cell::{Event, Record, Stage};
use futures::future::join_all;
use platform::Transaction;

use super::{DETACHED, Node, lock};
use crate::Session;

/// Rows that every placer reads.
const PREFIXES: [&str; 3] = ["config/", Record::PREFIX, Session::PREFIX];

/// A process whose beats are this far apart was paused. Whoever accepts a configuration counts a
/// process as dead only after a longer time.
const PAUSED: Duration = Duration::from_secs(6);

/// Longest wait for another placer's configuration.
const ASK: Duration = Duration::from_millis(800);

/// Beats until the placer ends.
pub(super) async fn run(node: Arc<Node>) {
    let mut beat = 0;
    let mut last = node.now();
    loop {
        beat += 1;
        if node.now().saturating_sub(last) > PAUSED {
            log::warn!("paused for more than {PAUSED:?}");
            node.set_fresh(false);
        }
        last = node.now();
        once(&node, beat).await;
        tokio::select! {
            () = tokio::time::sleep(node.options.beat) => {}
            () = node.beat_now.notified() => {}
            () = node.stop.ended() => break,
        }
    }
    let farewell = Transaction::default().delete(Session::key(&node.options.name));
    drop(node.table.commit(farewell).await);
}

async fn once(node: &Arc<Node>, beat: u64) {
    renew(node, beat).await;
    read(node).await;
    assign(node);
}

async fn renew(node: &Node, beat: u64) {
    let session = session(node, beat);
    let Ok(value) = serde_json::to_string(&session) else {
        return;
    };
    let key = Session::key(&node.options.name);
    if let Err(error) = node
        .table
        .commit(Transaction::default().put(key, value))
        .await
    {
        log::warn!("the session was not renewed: {error}");
    }
}

fn session(node: &Node, beat: u64) -> Session {
    let now = node.now();
    let mut attached = lock(&node.attached);
    attached.retain(|_, entry| now.saturating_sub(entry.seen) < DETACHED);
    let entries = attached
        .iter()
        .map(|(name, entry)| (name.clone(), entry.applied))
        .collect();
    Session {
        address: node.options.address.clone(),
        region: node.options.region.clone(),
        data_centre: node.options.data_centre.clone(),
        draining: node.stop.is_draining(),
        applied: node.known().map_or(0, |a| a.version),
        entries,
        beat,
    }
}

async fn read(node: &Arc<Node>) {
    let since = node.view().version;
    let scan = match node.table.scan(&PREFIXES, since).await {
        Ok(scan) => scan,
        Err(error) => {
            node.view().unreachable();
            log::warn!("the table was not read: {error}");
            ask_peers(node).await;
            return;
        }
    };
    let now = node.now();
    let (changed, config) = {
        let mut view = node.view();
        let changed = view.learn(&scan, now);
        (changed, view.config.clone())
    };
    if let Some((version, raw)) = config {
        node.apply(version, raw);
        node.set_fresh(true);
    }
    for rack in &changed {
        depose(node, rack);
    }
    if !changed.is_empty() {
        node.doubt(&changed);
    }
    node.health
        .set_ready(!node.stop.is_draining() && node.applied().is_some());
}

/// Learns the configuration from other placers while the table does not answer. The table may be
/// down, in which case nothing can change; or it is only this placer that is cut off, and others
/// have accepted a newer configuration.
async fn ask_peers(node: &Arc<Node>) {
    let mut known = node.everyone();
    known.extend(node.options.peers.iter().cloned());
    known.retain(|address| *address != node.options.address);
    known.sort();
    known.dedup();
    let than = node.known().map_or(0, |a| a.version);
    let asked = known.iter().map(|address| async {
        let asked = node.peers.config(address, than);
        tokio::time::timeout(ASK, asked).await.ok()?.ok().flatten()
    });
    let newer = join_all(asked).await.into_iter().flatten();
    if let Some((version, raw)) = newer.max_by_key(|(version, _)| *version) {
        node.apply(version, raw);
        node.set_fresh(true);
    }
}

/// Another owner has a rack that this placer holds.
fn depose(node: &Node, rack: &str) {
    let Some(shard) = node.shard(rack) else {
        return;
    };
    let epoch = node
        .view()
        .records
        .get(rack)
        .map_or(0, |(_, record)| record.epoch);
    if shard.epoch() < epoch && shard.stage() != Stage::Watching {
        shard.depose(node, epoch);
    }
}

/// Takes the racks that fall to this placer, lets go of those that fall to others.
fn assign(node: &Node) {
    let Some(applied) = node.applied() else {
        return;
    };
    let now = node.now();
    let ideals = node.view().ideals(&applied.cell, now, &node.options);
    for shard in node.shards() {
        let ideal = ideals.get(&shard.name);
        let view = node.view();
        let owner = view
            .records
            .get(&shard.name)
            .and_then(|(_, r)| r.owner.clone());
        let reachable = view.is_reachable();
        let dead = owner
            .as_ref()
            .is_none_or(|o| !view.is_live(o, now, &node.options));
        drop(view);
        let mine = ideal == Some(&node.options.name);
        let owned = owner.as_ref() == Some(&node.options.name);
        match shard.stage() {
            Stage::Watching if mine && reachable && (dead || owned) && !node.stop.is_draining() => {
                shard.handle(&Event::Assigned);
            }
            Stage::Fencing | Stage::Active if !mine && reachable && ideal.is_some() => {
                shard.handle(&Event::Unassigned);
            }
            _ => {}
        }
    }
}
