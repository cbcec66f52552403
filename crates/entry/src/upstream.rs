//! Calls to placers.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use wire::rpc::PlacerClient as _;
use wire::{Answer, Fault, Job, Request, RouteQuery, Routes, State};

/// A call that brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Missed {
    /// The placer saw nothing of it.
    NotSent,
    /// It may have had its effect.
    NoAnswer,
}

/// Reaches placers over JSON-RPC; keeps one client for each address.
#[derive(Debug, Default)]
pub struct Upstream {
    clients: Mutex<HashMap<String, HttpClient>>,
}

/// Longest wait for an answer beside a request's own budget.
const TRAVEL: Duration = Duration::from_millis(400);
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest wait for an answer that does no work for a caller.
const ROUTES: Duration = Duration::from_millis(800);
/// Longest wait for an answer about a job.
const JOBS: Duration = Duration::from_secs(5);
/// Requests under way to one placer, at most.
const CONCURRENT: usize = 4_096;
/// Longest time that a client waits for anything; calls have shorter ones of their own.
const LONGEST: Duration = Duration::from_secs(70);

impl Upstream {
    fn client(&self, address: &str) -> Result<HttpClient, Missed> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(LONGEST)
            .connect_timeout(CONNECT)
            .max_concurrent_requests(CONCURRENT)
            .set_tcp_no_delay(true)
            .build(format!("http://{address}"))
            .map_err(|_| Missed::NotSent)?;
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Runs a request on a rack.
    ///
    /// # Errors
    /// [`Missed`] if there was no answer.
    pub async fn run(&self, address: &str, rack: &str, request: Request) -> Result<Answer, Missed> {
        let limit = request.budget() + TRAVEL;
        let client = self.client(address)?;
        within(limit, client.run(rack.to_owned(), request)).await
    }

    /// Asks who owns what.
    ///
    /// # Errors
    /// [`Missed`] if there was no answer.
    pub async fn routes(&self, address: &str, ask: RouteQuery) -> Result<Routes, Missed> {
        within(ROUTES, self.client(address)?.routes(ask)).await
    }

    /// Submits a job.
    ///
    /// # Errors
    /// [`Missed`] if there was no answer.
    pub async fn submit(
        &self,
        address: &str,
        home: &str,
        job: Job,
    ) -> Result<Result<State, Fault>, Missed> {
        within(JOBS, self.client(address)?.submit(home.to_owned(), job)).await
    }

    /// Asks where a job stands.
    ///
    /// # Errors
    /// [`Missed`] if there was no answer.
    pub async fn watch(
        &self,
        address: &str,
        home: &str,
        team: &str,
        job: &str,
    ) -> Result<Result<State, Fault>, Missed> {
        let client = self.client(address)?;
        let asked = client.watch(home.to_owned(), team.to_owned(), job.to_owned());
        within(JOBS, asked).await
    }

    /// Withdraws a job.
    ///
    /// # Errors
    /// [`Missed`] if there was no answer.
    pub async fn cancel(
        &self,
        address: &str,
        home: &str,
        team: &str,
        job: &str,
    ) -> Result<Result<State, Fault>, Missed> {
        let client = self.client(address)?;
        let asked = client.cancel(home.to_owned(), team.to_owned(), job.to_owned());
        within(JOBS, asked).await
    }
}

async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, Missed> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(missed(&error)),
        Err(_) => Err(Missed::NoAnswer),
    }
}

fn missed(error: &ClientError) -> Missed {
    log::debug!("a placer gave no answer: {error}");
    if wire::is_connection_refused(error) {
        Missed::NotSent
    } else {
        Missed::NoAnswer
    }
}
