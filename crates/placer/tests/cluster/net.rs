//! Calls between placers inside a test.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use placer::{Node, PeerError, Server};

use super::Faults;

/// A placer with its fault switches.
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

    /// Removes a placer; calls to it are refused from now on.
    pub fn remove(&self, address: &str) {
        self.nodes.lock().unwrap().remove(address);
    }

    /// The server of a placer; waits while the placer is paused.
    pub async fn reach(&self, address: &str) -> Result<Server, PeerError> {
        let found = self.nodes.lock().unwrap().get(address).cloned();
        let (node, faults) = found.ok_or(PeerError::ConnectionRefused)?;
        faults.wait_while_paused().await;
        Ok(Server::new(node))
    }
}
