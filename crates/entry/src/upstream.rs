//! JSON-RPC calls to placers.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use wire::rpc::PlacerClient as _;
use wire::{Answer, Fault, Job, Request, RouteQuery, Routes, State};

/// Why a call returned no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The request did not reach the placer, so it had no effect.
    NotSent,
    /// The request was sent and may have had its effect.
    NoAnswer,
}

/// Client of the placers over JSON-RPC; keeps one HTTP client for each address.
#[derive(Debug, Default)]
pub struct Upstream {
    clients: Mutex<HashMap<String, HttpClient>>,
}

/// Time for the network and the placer on top of a request's own budget.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(400);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a route query.
const ROUTES_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call about a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of requests in flight to one placer.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;
/// Timeout of the HTTP client. Each call has a shorter one of its own, a quick request up to its
/// budget of at most 60 s plus [`NETWORK_ALLOWANCE`].
const CLIENT_TIMEOUT: Duration = Duration::from_secs(70);

impl Upstream {
    fn client(&self, address: &str) -> Result<HttpClient, CallFailure> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(CLIENT_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
            .set_tcp_no_delay(true)
            .build(format!("http://{address}"))
            .map_err(|_| CallFailure::NotSent)?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Runs a request on a rack owned by the placer at `address`.
    ///
    /// # Errors
    /// [`CallFailure`] if no answer arrived.
    pub async fn run(
        &self,
        address: &str,
        rack: &str,
        request: Request,
    ) -> Result<Answer, CallFailure> {
        let timeout = request.budget() + NETWORK_ALLOWANCE;
        let client = self.client(address)?;
        with_timeout(timeout, client.run(rack.to_owned(), request)).await
    }

    /// Queries the owners of racks and the configuration.
    ///
    /// # Errors
    /// [`CallFailure`] if no answer arrived.
    pub async fn routes(&self, address: &str, query: RouteQuery) -> Result<Routes, CallFailure> {
        with_timeout(ROUTES_TIMEOUT, self.client(address)?.routes(query)).await
    }

    /// Submits a job to the owner of its home rack.
    ///
    /// # Errors
    /// [`CallFailure`] if no answer arrived.
    pub async fn submit(
        &self,
        address: &str,
        home: &str,
        job: Job,
    ) -> Result<Result<State, Fault>, CallFailure> {
        with_timeout(
            JOB_TIMEOUT,
            self.client(address)?.submit(home.to_owned(), job),
        )
        .await
    }

    /// Queries the state of a job.
    ///
    /// # Errors
    /// [`CallFailure`] if no answer arrived.
    pub async fn watch(
        &self,
        address: &str,
        home: &str,
        team: &str,
        job: &str,
    ) -> Result<Result<State, Fault>, CallFailure> {
        let client = self.client(address)?;
        let call = client.watch(home.to_owned(), team.to_owned(), job.to_owned());
        with_timeout(JOB_TIMEOUT, call).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// [`CallFailure`] if no answer arrived.
    pub async fn cancel(
        &self,
        address: &str,
        home: &str,
        team: &str,
        job: &str,
    ) -> Result<Result<State, Fault>, CallFailure> {
        let client = self.client(address)?;
        let call = client.cancel(home.to_owned(), team.to_owned(), job.to_owned());
        with_timeout(JOB_TIMEOUT, call).await
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, CallFailure> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(call_failure(&error)),
        Err(_) => Err(CallFailure::NoAnswer),
    }
}

fn call_failure(error: &ClientError) -> CallFailure {
    log::debug!("call to a placer failed: {error}");
    if wire::is_connection_refused(error) {
        CallFailure::NotSent
    } else {
        CallFailure::NoAnswer
    }
}
