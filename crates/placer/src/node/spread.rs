//! Keeps what is known of the room in all racks of the region.

use std::sync::Arc;

use super::{Node, lock};

/// Asks the other placers of the region until this one ends.
pub(super) async fn run(node: Arc<Node>) {
    while node.stop.sleep(node.options.digest).await {
        learn(&node, &node.own_digests());
        let asked = node.neighbours().into_iter().map(|address| {
            let node = Arc::clone(&node);
            async move {
                if let Ok(digests) = node.peers.digests(&address).await {
                    learn(&node, &digests);
                }
            }
        });
        futures::future::join_all(asked).await;
        gauge(&node);
    }
}

fn learn(node: &Node, digests: &[wire::Digest]) {
    let mut known = lock(&node.digests);
    digests.iter().for_each(|digest| known.learn(digest));
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
