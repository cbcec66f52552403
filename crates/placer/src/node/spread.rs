//! Keeps what is known of the room in all racks of the region.

use std::sync::Arc;
use std::time::Duration;

use super::{Node, lock};
use crate::Unreached;

/// A refused connection is tried again after this long.
const AGAIN: Duration = Duration::from_millis(150);

/// Asks the other placers of the region until this one ends.
pub(super) async fn run(node: Arc<Node>) {
    while node.stop.sleep(node.options.digest).await {
        learn(&node, &node.own_digests());
        let asked = node
            .neighbours()
            .into_iter()
            .map(|address| ask(&node, address));
        futures::future::join_all(asked).await;
        gauge(&node);
    }
}

/// Asks one placer for the room in its racks. One whose port refuses connections, twice, is gone:
/// its racks need not wait until its session has grown old.
async fn ask(node: &Node, address: String) {
    match node.peers.digests(&address).await {
        Ok(digests) => learn(node, &digests),
        Err(Unreached::NoAnswer) => {}
        Err(Unreached::Gone) => {
            tokio::time::sleep(AGAIN).await;
            if node.peers.digests(&address).await == Err(Unreached::Gone) {
                log::warn!(address = address.as_str(); "a placer is gone");
                node.view().gone(&address);
                node.beat_now.notify_one();
            }
        }
    }
}

fn learn(node: &Node, digests: &[wire::Digest]) {
    let mut known = lock(&node.digests);
    digests.iter().for_each(|digest| known.update(digest));
}

fn gauge(node: &Node) {
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
