//! Calls between placers inside a test.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use placer::{Node, PeerError, Server};

use super::Faults;

/// A placer, and what goes wrong with it.
type Reachable = (Arc<Node>, Arc<Faults>);

/// Placers by address.
#[derive(Default)]
pub struct Net {
    nodes: Mutex<BTreeMap<String, Reachable>>,
}

impl Net {
    /// Adds a placer.
    pub fn add(&self, address: &str, node: Arc<Node>, faults: Arc<Faults>) {
        self.nodes
            .lock()
            .unwrap()
            .insert(address.to_owned(), (node, faults));
    }

    /// A placer is not there any more.
    pub fn remove(&self, address: &str) {
        self.nodes.lock().unwrap().remove(address);
    }

    /// Reaches a placer; one that is paused answers when it goes on.
    pub async fn reach(&self, address: &str) -> Result<Server, PeerError> {
        let found = self.nodes.lock().unwrap().get(address).cloned();
        let (node, faults) = found.ok_or(PeerError::ConnectionRefused)?;
        faults.wait_while_paused().await;
        Ok(Server::new(node))
    }
}
