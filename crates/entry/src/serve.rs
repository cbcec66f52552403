//! The HTTP interface towards callers; described in `docs/API.md`.

use std::future::IntoFuture as _;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::Deserialize;
use tokio::net::TcpListener;
use wire::{Body, Fault, Kind};

use crate::{Entry, parse, respond};

type Shared = State<Arc<Entry>>;

/// How often a watched job is looked at.
const WATCH_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for a job, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// How to watch a job.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Watch {
    /// Longest wait for the job to be over, in milliseconds.
    wait_ms: u64,
}

/// Serves callers until the entry drains; then takes no new connection, finishes what is in hand,
/// at most for so long, and ends.
pub async fn run(listener: TcpListener, entry: Arc<Entry>, longest: Duration) {
    let stop = entry.stop.clone();
    let draining = stop.clone();
    let server = axum::serve(listener, router(entry))
        .with_graceful_shutdown(async move { draining.draining().await })
        .into_future();
    let given_up = async {
        stop.draining().await;
        tokio::time::sleep(longest).await;
    };
    tokio::select! {
        _ = server => {}
        () = given_up => log::warn!("some callers were still waiting after {longest:?}"),
    }
}

/// All calls that callers make, and readiness for the balancer.
pub fn router(entry: Arc<Entry>) -> Router {
    let jobs = put(submit).get(watch).delete(cancel);
    Router::new()
        .route("/v1/requests/{id}", post(request))
        .route("/v1/requests", post(no_id))
        .route("/v1/jobs/{team}/{id}", jobs)
        .route("/ready", get(ready))
        .route("/burn", get(burn))
        .fallback(no_route)
        .layer(DefaultBodyLimit::max(Body::MAX))
        .with_state(entry)
}

async fn request(
    State(entry): Shared,
    Path(id): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let request = whole(body).and_then(|body| parse::request(&id, &headers, &body));
    match request {
        Ok(request) => {
            // A task of its own: a caller that goes away must not stop work half-way.
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
    match whole(body).and_then(|body| parse::job(&team, &id, &body)) {
        Ok(job) => respond::job(entry.submit(job).await),
        Err(fault) => respond::fault(&fault),
    }
}

async fn watch(
    State(entry): Shared,
    Path((team, id)): Path<(String, String)>,
    Query(watch): Query<Watch>,
) -> Response {
    let longest = Duration::from_millis(watch.wait_ms.min(MAX_WAIT_MS));
    let deadline = tokio::time::Instant::now() + longest;
    loop {
        let state = entry.watch(&team, &id).await;
        let over = state.as_ref().is_ok_and(|state| state.phase.is_over());
        if over || state.is_err() || tokio::time::Instant::now() >= deadline {
            return respond::job(state);
        }
        tokio::time::sleep(WATCH_EVERY).await;
    }
}

async fn cancel(State(entry): Shared, Path((team, id)): Path<(String, String)>) -> Response {
    respond::job(entry.cancel(&team, &id).await)
}

async fn ready(State(entry): Shared) -> StatusCode {
    if entry.health.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn burn(State(entry): Shared) -> Response {
    Json(entry.burn.minutes()).into_response()
}

async fn no_id() -> Response {
    respond::fault(&Fault::new(
        Kind::BadInput,
        "the id: missing; use /v1/requests/ID",
    ))
}

async fn no_route() -> Response {
    respond::fault(&Fault::new(Kind::BadInput, "there is no such path"))
}

/// The whole body, or the reason why it is not taken.
fn whole(body: Result<Bytes, BytesRejection>) -> Result<Bytes, Fault> {
    body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => Fault::new(
            Kind::TooLarge,
            format!("at most {} bytes are taken", Body::MAX),
        ),
        _ => Fault::new(Kind::BadInput, "the body is not whole"),
    })
}
