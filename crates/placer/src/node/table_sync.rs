//! Periodic sync with the platform's table: renews the session row, reads the rows that changed and
//! decides which racks to own.

use std::sync::Arc;
use std::time::Duration;

use cell::{Event, Record, Stage};
use futures::future::join_all;
use platform::Transaction;

use super::{ENTRY_TIMEOUT, Node, lock};
use crate::Session;

/// Key prefixes of the rows that every placer reads.
const SYNCED_PREFIXES: [&str; 3] = ["config/", Record::PREFIX, Session::PREFIX];

/// A process with a longer gap between two syncs was paused. Must be less than the time after which
/// a process counts as crashed when a new configuration is accepted.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(6);

/// Time limit for another placer's answer with its configuration.
const CONFIG_QUERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Syncs until the placer ends, then deletes the session row.
pub(super) async fn run(node: Arc<Node>) {
    let mut heartbeat = 0;
    let mut last = node.now();
    loop {
        heartbeat += 1;
        if node.now().saturating_sub(last) > PAUSE_THRESHOLD {
            log::warn!("process was paused for more than {PAUSE_THRESHOLD:?}");
            node.set_config_confirmed(false);
        }
        last = node.now();
        sync(&node, heartbeat).await;
        tokio::select! {
            () = tokio::time::sleep(node.options.sync_interval) => {}
            () = node.sync_now.notified() => {}
            () = node.shutdown.ended() => break,
        }
    }
    let delete_session = Transaction::default().delete(Session::key(&node.options.name));
    drop(node.table.commit(delete_session).await);
}

async fn sync(node: &Arc<Node>, heartbeat: u64) {
    renew_session(node, heartbeat).await;
    read_table(node).await;
    update_ownership(node);
}

async fn renew_session(node: &Node, heartbeat: u64) {
    let session = session(node, heartbeat);
    let Ok(value) = serde_json::to_string(&session) else {
        return;
    };
    let key = Session::key(&node.options.name);
    if let Err(error) = node
        .table
        .commit(Transaction::default().put(key, value))
        .await
    {
        log::warn!("session renewal failed: {error}");
    }
}

fn session(node: &Node, heartbeat: u64) -> Session {
    let now = node.now();
    let mut attached = lock(&node.attached);
    attached.retain(|_, entry| now.saturating_sub(entry.last_seen) < ENTRY_TIMEOUT);
    let entries = attached
        .iter()
        .map(|(name, entry)| (name.clone(), entry.applied))
        .collect();
    Session {
        address: node.options.address.clone(),
        region: node.options.region.clone(),
        data_centre: node.options.data_centre.clone(),
        draining: node.shutdown.is_draining(),
        applied: node.latest_config().map_or(0, |a| a.version),
        entries,
        heartbeat,
    }
}

async fn read_table(node: &Arc<Node>) {
    let last_version = node.view().version;
    let scan = match node.table.scan(&SYNCED_PREFIXES, last_version).await {
        Ok(scan) => scan,
        Err(error) => {
            node.view().set_unreachable();
            log::warn!("reading the table failed: {error}");
            query_peers_for_config(node).await;
            return;
        }
    };
    let now = node.now();
    let (changed, config) = {
        let mut view = node.view();
        let changed = view.apply_scan(&scan, now);
        (changed, view.config.clone())
    };
    if let Some((version, raw)) = config {
        node.apply(version, raw);
        node.set_config_confirmed(true);
    }
    for rack in &changed {
        depose_if_superseded(node, rack);
    }
    if !changed.is_empty() {
        node.mark_unconfirmed(&changed);
    }
    node.health
        .set_ready(!node.shutdown.is_draining() && node.active_config().is_some());
}

/// Fetches the configuration from other placers while the table does not answer.
///
/// If the table is down, the configuration can't change. If only this placer is cut off from it,
/// others may have accepted a newer one.
async fn query_peers_for_config(node: &Arc<Node>) {
    let mut addresses = node.live_addresses();
    addresses.extend(node.options.peers.iter().cloned());
    addresses.retain(|address| *address != node.options.address);
    addresses.sort();
    addresses.dedup();
    let min_version = node.latest_config().map_or(0, |a| a.version);
    let queries = addresses.iter().map(|address| async {
        let call = node.peers.config(address, min_version);
        tokio::time::timeout(CONFIG_QUERY_TIMEOUT, call)
            .await
            .ok()?
            .ok()
            .flatten()
    });
    let configs = join_all(queries).await.into_iter().flatten();
    if let Some((version, raw)) = configs.max_by_key(|(version, _)| *version) {
        node.apply(version, raw);
        node.set_config_confirmed(true);
    }
}

/// Gives up a rack if its record has a higher epoch than the one under which this placer owns it.
fn depose_if_superseded(node: &Node, rack: &str) {
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

/// Requests ownership of the racks that this placer should own, and releases the others.
fn update_ownership(node: &Node) {
    let Some(applied) = node.active_config() else {
        return;
    };
    let now = node.now();
    let desired_owners = node
        .view()
        .desired_owners(&applied.cell, now, &node.options);
    for shard in node.shards() {
        let desired_owner = desired_owners.get(&shard.name);
        let view = node.view();
        let owner = view
            .records
            .get(&shard.name)
            .and_then(|(_, r)| r.owner.clone());
        let reachable = view.is_reachable();
        let owner_down = owner
            .as_ref()
            .is_none_or(|o| !view.is_live(o, now, &node.options));
        drop(view);
        let desired_here = desired_owner == Some(&node.options.name);
        let owned = owner.as_ref() == Some(&node.options.name);
        match shard.stage() {
            Stage::Watching
                if desired_here
                    && reachable
                    && (owner_down || owned)
                    && !node.shutdown.is_draining() =>
            {
                shard.handle(&Event::Assigned);
            }
            Stage::Fencing | Stage::Active
                if !desired_here && reachable && desired_owner.is_some() =>
            {
                shard.handle(&Event::Unassigned);
            }
            _ => {}
        }
    }
}
