//! The HTTP interface for callers; described in `docs/API.md`.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, Request, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use hyper::body::Incoming;
use hyper::service::Service as _;
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use telemetry::{Connections, PendingCalls, Phase};
use tokio::net::TcpListener;
use wire::{Body, Fault, Kind};

use crate::{Entry, Options, parse, respond};

type Shared = State<Arc<Entry>>;

/// Interval at which the state of a watched job is queried.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait of one watch call, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Query parameters of a watch call.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WatchQuery {
    /// Maximum wait for the job to be over, in milliseconds.
    wait_ms: u64,
}

/// Serves callers until the entry has drained, and returns once all their connections have ended.
///
/// When the entry begins to drain, it goes on serving, so that the load balancer can learn from
/// `/ready` that it stops. Then no new connections are accepted, and calls in progress are
/// completed. Those whose outcome isn't known in time are answered nevertheless.
pub async fn run(listener: TcpListener, entry: Arc<Entry>, options: Options) {
    let shutdown = entry.shutdown.clone();
    let ending_calls = Arc::clone(&entry);
    let service = TowerToHyperService::new(router(entry));
    let pending_calls = PendingCalls::default();
    let handler = {
        let (pending_calls, shutdown) = (pending_calls.clone(), shutdown.clone());
        move |request: Request<Incoming>| {
            let call = pending_calls.start(request.method(), request.uri().path(), &shutdown);
            let response = service.call(request);
            async move {
                match response.await {
                    Ok(response) => {
                        call.answered();
                        response
                    }
                    Err(never) => match never {},
                }
            }
        }
    };
    let connections = Connections::new(&shutdown).with_time_limit(options.closing_limit());
    shutdown.spawn_connection(connections.serve(listener, handler));
    shutdown.draining().await;
    log::info!("draining");
    tokio::select! {
        () = tokio::time::sleep(options.close_delay()) => {}
        () = shutdown.closing() => {}
    }
    log::info!(pending = pending_calls.count(); "no more connections of callers are accepted");
    let outcome_limit = async {
        tokio::time::sleep(options.outcome_limit()).await;
        ending_calls.end_calls();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = shutdown.close() => {}
        () = outcome_limit => {}
    }
    log::info!("all connections of callers have ended");
}

/// The calls of callers, readiness for the load balancer, and counts for operators.
pub fn router(entry: Arc<Entry>) -> Router {
    let jobs = put(submit).get(watch).delete(cancel);
    Router::new()
        .route("/v1/requests/{id}", post(request))
        .route("/v1/requests", post(missing_id))
        .route("/v1/jobs/{team}/{id}", jobs)
        .route("/ready", get(ready))
        .route("/burn", get(burn))
        .fallback(unknown_path)
        .layer(DefaultBodyLimit::max(Body::MAX))
        .with_state(entry)
}

async fn request(
    State(entry): Shared,
    Path(id): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let request = complete_body(body).and_then(|body| parse::request(&id, &headers, &body));
    match request {
        Ok(request) => {
            // A task of its own: axum drops the handler when the caller disconnects, which would
            // cancel the request half-way.
            let running = tokio::spawn(async move { entry.run(request).await });
            match running.await {
                Ok(answer) => respond::answer(answer),
                Err(_) => respond::fault(&Fault::new(Kind::OwnerLost, "the entry failed")),
            }
        }
        Err(fault) => respond::fault(&fault),
    }
}

async fn submit(
    State(entry): Shared,
    Path((team, id)): Path<(String, String)>,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    match complete_body(body).and_then(|body| parse::job(&team, &id, &body)) {
        Ok(job) => respond::job(entry.submit(job).await),
        Err(fault) => respond::fault(&fault),
    }
}

async fn watch(
    State(entry): Shared,
    Path((team, id)): Path<(String, String)>,
    Query(watch): Query<WatchQuery>,
) -> Response {
    let max_wait = Duration::from_millis(watch.wait_ms.min(MAX_WAIT_MS));
    let deadline = tokio::time::Instant::now() + max_wait;
    let mut last = None;
    loop {
        let state = match (entry.watch(&team, &id).await, last) {
            (Err(_), Some(last)) if entry.shutdown.phase() >= Phase::Closing => Ok(last),
            (state, _) => state,
        };
        let over = state.as_ref().is_ok_and(|state| state.phase.is_over());
        if over || state.is_err() || tokio::time::Instant::now() >= deadline {
            return respond::job(state);
        }
        tokio::select! {
            () = tokio::time::sleep(WATCH_INTERVAL) => last = state.ok(),
            () = entry.shutdown.closing() => return respond::job(state),
        }
    }
}

async fn cancel(State(entry): Shared, Path((team, id)): Path<(String, String)>) -> Response {
    respond::job(entry.cancel(&team, &id).await)
}

async fn ready(State(entry): Shared) -> StatusCode {
    if entry.health.is_ready() && !entry.shutdown.is_draining() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn burn(State(entry): Shared) -> Response {
    Json(entry.slo_counts.minutes()).into_response()
}

async fn missing_id() -> Response {
    respond::fault(&Fault::new(
        Kind::BadInput,
        "the id: missing; use /v1/requests/ID",
    ))
}

async fn unknown_path() -> Response {
    respond::fault(&Fault::new(Kind::BadInput, "there is no such path"))
}

/// The body if it was received completely and is not too large.
fn complete_body(body: Result<Bytes, BytesRejection>) -> Result<Bytes, Fault> {
    body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Fault::new(
            Kind::TooLarge,
            format!("at most {} bytes are taken", Body::MAX),
        ),
        _ => Fault::new(Kind::BadInput, "the body is not whole"),
    })
}
