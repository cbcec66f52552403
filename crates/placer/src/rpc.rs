//! Other placers over JSON-RPC.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use config::{Version, raw};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use resource::id;
use wire::rpc::PlacerClient as _;
use wire::{
    Claim, ClaimOutcome, Digest, Event, FencingToken, Gang, Inventory, PlaceReply, PlaceRequest,
};

use crate::{Peers, Unreached};

/// Time limit of one call.
const LIMIT: Duration = Duration::from_secs(2);

/// Reaches placers over JSON-RPC; keeps one client for each address.
#[derive(Debug, Default)]
pub struct Rpc {
    clients: Mutex<HashMap<String, HttpClient>>,
}

impl Rpc {
    fn client(&self, address: &str) -> Result<HttpClient, Unreached> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(LIMIT)
            .connect_timeout(LIMIT / 2)
            .build(format!("http://{address}"))
            .map_err(|_| Unreached::NoAnswer)?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "the signature that map_err wants"
)]
fn unreached(error: ClientError) -> Unreached {
    log::debug!("a placer was not reached: {error}");
    if wire::is_connection_refused(&error) {
        Unreached::Gone
    } else {
        Unreached::NoAnswer
    }
}

#[async_trait]
impl Peers for Rpc {
    async fn place(&self, address: &str, order: PlaceRequest) -> Result<PlaceReply, Unreached> {
        self.client(address)?.place(order).await.map_err(unreached)
    }

    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached> {
        self.client(address)?
            .commit(rack, from, gang)
            .await
            .map_err(unreached)
    }

    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, Unreached> {
        self.client(address)?
            .undo(rack, from, gang)
            .await
            .map_err(unreached)
    }

    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, Unreached> {
        self.client(address)?
            .stop(rack, from, job.0, job.1)
            .await
            .map_err(unreached)
    }

    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, Unreached> {
        self.client(address)?
            .inventory(from)
            .await
            .map_err(unreached)
    }

    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, Unreached> {
        self.client(address)?
            .report(home, events)
            .await
            .map_err(unreached)
    }

    async fn config(
        &self,
        address: &str,
        than: Version,
    ) -> Result<Option<(Version, raw::Cell)>, Unreached> {
        self.client(address)?.config(than).await.map_err(unreached)
    }

    async fn digests(&self, address: &str) -> Result<Vec<Digest>, Unreached> {
        self.client(address)?.digests().await.map_err(unreached)
    }

    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, Unreached> {
        self.client(address)?.claim(claims).await.map_err(unreached)
    }
}
