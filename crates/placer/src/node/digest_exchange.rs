//! Keeps what is known of the room in all racks of the region.

use std::sync::Arc;
use std::time::Duration;

use super::{Node, lock};
use crate::PeerError;

/// A refused connection is tried again after this long.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Asks the other placers of the region until this one ends.
pub(super) async fn run(node: Arc<Node>) {
    while node.shutdown.sleep(node.options.digest_interval).await {
        store_digests(&node, &node.local_digests());
        let asked = node
            .region_peers()
            .into_iter()
            .map(|address| fetch_digests(&node, address));
        futures::future::join_all(asked).await;
        update_gauges(&node);
    }
}

/// Asks one placer for the room in its racks. One whose port refuses connections, twice, is gone:
/// its racks need not wait until its session has grown old.
async fn fetch_digests(node: &Node, address: String) {
    match node.peers.digests(&address).await {
        Ok(digests) => store_digests(node, &digests),
        Err(PeerError::NoAnswer) => {}
        Err(PeerError::ConnectionRefused) => {
            tokio::time::sleep(RETRY_DELAY).await;
            if node.peers.digests(&address).await == Err(PeerError::ConnectionRefused) {
                log::warn!(address = address.as_str(); "a placer is gone");
                node.view().set_connection_refused(&address);
                node.sync_now.notify_one();
            }
        }
    }
}

fn store_digests(node: &Node, digests: &[wire::Digest]) {
    let mut known = lock(&node.digests);
    digests.iter().for_each(|digest| known.learn(digest));
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
