//! The fake platform over HTTP.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use platform::{Error, Host, Hosts as _, Objects as _, Table as _, Transaction};
use serde::{Deserialize, Serialize};

use crate::{Faults, Platform};

/// Body of a scan: rows under these prefixes that changed after version `since`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScanQuery {
    prefixes: Vec<String>,
    since: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsQuery {
    racks: Vec<String>,
}

type Shared = State<Arc<Platform>>;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The calls of the platform, and `/register`, `/unlist`, `/control` and `/stats` for tests and
/// operators.
pub fn platform_router(platform: Arc<Platform>) -> Router {
    Router::new()
        .route("/table/commit", post(commit))
        .route("/table/scan", post(scan))
        .route("/hosts/list", post(list))
        .route("/objects/{name}", get(read).put(write))
        .route("/register", post(register))
        .route("/unlist/{name}", post(unlist))
        .route("/control", post(control))
        .route("/stats", get(stats))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(platform)
}

async fn commit(State(platform): Shared, Json(transaction): Json<Transaction>) -> Response {
    match platform.commit(transaction).await {
        Ok(version) => Json(version).into_response(),
        Err(error) => error_response(error),
    }
}

async fn scan(State(platform): Shared, Json(query): Json<ScanQuery>) -> Response {
    let prefixes: Vec<&str> = query.prefixes.iter().map(String::as_str).collect();
    match platform.scan(&prefixes, query.since).await {
        Ok(scan) => Json(scan).into_response(),
        Err(error) => error_response(error),
    }
}

async fn list(State(platform): Shared, Json(query): Json<HostsQuery>) -> Response {
    match platform.hosts(&query.racks).await {
        Ok(hosts) => Json(hosts).into_response(),
        Err(error) => error_response(error),
    }
}

async fn read(State(platform): Shared, Path(name): Path<String>) -> Response {
    match platform.get(&name).await {
        Ok(Some(value)) => value.into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => error_response(error),
    }
}

async fn write(State(platform): Shared, Path(name): Path<String>, value: Bytes) -> Response {
    match platform.put(&name, value.to_vec()).await {
        Ok(()) => StatusCode::OK.into_response(),
        Err(error) => error_response(error),
    }
}

async fn register(State(platform): Shared, Json(host): Json<Host>) {
    platform.list(host);
}

async fn unlist(State(platform): Shared, Path(name): Path<String>) {
    platform.unlist(&name, false);
}

async fn control(State(platform): Shared, Json(faults): Json<Faults>) {
    platform.set(faults);
}

async fn stats(State(platform): Shared) -> Response {
    Json(platform.counts()).into_response()
}

/// Response for an error of the platform. A lost answer becomes a truncated JSON body, from which
/// the client can't tell whether its transaction took effect.
fn error_response(error: Error) -> Response {
    match error {
        Error::Down { .. } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Error::Lost { .. } => (StatusCode::OK, "{").into_response(),
        Error::Conflict { rows } => (StatusCode::CONFLICT, Json(rows)).into_response(),
    }
}
