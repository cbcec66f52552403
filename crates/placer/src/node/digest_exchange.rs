//! Collects the free capacity of all racks of the region.

use std::sync::Arc;
use std::time::Duration;

use super::{Node, lock};
use crate::PeerError;

/// Delay before a refused connection is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Polls the other placers of the region until this one ends.
pub(super) async fn run(node: Arc<Node>) {
    while node.shutdown.sleep(node.options.digest_interval).await {
        store_digests(&node, &node.local_digests());
        let fetches = node
            .region_peers()
            .into_iter()
            .map(|address| fetch_digests(&node, address));
        futures::future::join_all(fetches).await;
        update_gauges(&node);
    }
}

/// Fetches the free capacity of one placer's racks.
///
/// A placer whose port refuses connections twice has crashed: its racks can be taken over before
/// its session times out.
async fn fetch_digests(node: &Node, address: String) {
    match node.peers.digests(&address).await {
        Ok(digests) => store_digests(node, &digests),
        Err(PeerError::NoAnswer) => {}
        Err(PeerError::ConnectionRefused) => {
            tokio::time::sleep(RETRY_DELAY).await;
            if node.peers.digests(&address).await == Err(PeerError::ConnectionRefused) {
                log::warn!(
                    address = address.as_str();
                    "placer refuses connections; counted as crashed"
                );
                node.view().set_connection_refused(&address);
                node.sync_now.notify_one();
            }
        }
    }
}

fn store_digests(node: &Node, digests: &[wire::Digest]) {
    let mut known = lock(&node.digests);
    digests.iter().for_each(|digest| known.update(digest));
}

fn update_gauges(node: &Node) {
    let free = lock(&node.digests).free();
    metrics::gauge!("lentilyoke_free_millicores").set(free.millicores as f64);
    metrics::gauge!("lentilyoke_free_memory_mib").set(free.memory_mib as f64);
    let owned = node
        .shards()
        .iter()
        .filter(|s| s.stage() == cell::Stage::Active)
        .count();
    metrics::gauge!("lentilyoke_racks_active").set(owned as f64);
}
