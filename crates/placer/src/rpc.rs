//! Calls to other placers over JSON-RPC.

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

use crate::{PeerError, Peers};

/// Timeout of one call; half of it applies to connecting.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls placers over JSON-RPC, with one client per address.
#[derive(Debug, Default)]
pub struct Rpc {
    clients: Mutex<HashMap<String, HttpClient>>,
}

impl Rpc {
    fn client(&self, address: &str) -> Result<HttpClient, PeerError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .connect_timeout(CALL_TIMEOUT / 2)
            .build(format!("http://{address}"))
            .map_err(|_| PeerError::NoAnswer)?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
fn peer_error(error: ClientError) -> PeerError {
    log::debug!("call to another placer failed: {error}");
    if wire::is_connection_refused(&error) {
        PeerError::ConnectionRefused
    } else {
        PeerError::NoAnswer
    }
}

#[async_trait]
impl Peers for Rpc {
    async fn place(&self, address: &str, request: PlaceRequest) -> Result<PlaceReply, PeerError> {
        self.client(address)?
            .place(request)
            .await
            .map_err(peer_error)
    }

    async fn commit(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError> {
        self.client(address)?
            .commit(rack, from, gang)
            .await
            .map_err(peer_error)
    }

    async fn undo(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        gang: Gang,
    ) -> Result<bool, PeerError> {
        self.client(address)?
            .undo(rack, from, gang)
            .await
            .map_err(peer_error)
    }

    async fn stop(
        &self,
        address: &str,
        rack: id::Rack,
        from: FencingToken,
        job: (id::Team, id::Job),
    ) -> Result<bool, PeerError> {
        self.client(address)?
            .stop(rack, from, job.0, job.1)
            .await
            .map_err(peer_error)
    }

    async fn inventory(
        &self,
        address: &str,
        from: FencingToken,
    ) -> Result<Vec<Inventory>, PeerError> {
        self.client(address)?
            .inventory(from)
            .await
            .map_err(peer_error)
    }

    async fn report(
        &self,
        address: &str,
        home: id::Rack,
        events: Vec<Event>,
    ) -> Result<bool, PeerError> {
        self.client(address)?
            .report(home, events)
            .await
            .map_err(peer_error)
    }

    async fn config(
        &self,
        address: &str,
        min_version: Version,
    ) -> Result<Option<(Version, raw::Cell)>, PeerError> {
        self.client(address)?
            .config(min_version)
            .await
            .map_err(peer_error)
    }

    async fn digests(&self, address: &str) -> Result<Vec<Digest>, PeerError> {
        self.client(address)?.digests().await.map_err(peer_error)
    }

    async fn claim(
        &self,
        address: &str,
        claims: Vec<Claim>,
    ) -> Result<Vec<ClaimOutcome>, PeerError> {
        self.client(address)?
            .claim(claims)
            .await
            .map_err(peer_error)
    }
}
