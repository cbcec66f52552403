//! Serves the calls to a placer over JSON-RPC.

use std::sync::Arc;

use axum::http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::Service as _;
use hyper_util::service::TowerToHyperService;
use jsonrpsee::server::{HttpBody, HttpResponse, Server as JsonRpc, ServerConfig, stop_channel};
use telemetry::{Connections, PendingCalls};
use tokio::net::TcpListener;
use wire::rpc::PlacerServer as _;

use crate::{Node, Server};

/// Upper bound on calls in progress from entries, other placers and operators.
const MAX_CALLS: u32 = 4_096;

/// Serves calls to a placer until its connections end at shutdown.
pub async fn serve(listener: TcpListener, node: Arc<Node>) {
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CALLS)
        .build();
    // The connections end with the shutdown of the node, never by this handle.
    let (stop, _handle) = stop_channel();
    let service = JsonRpc::builder()
        .set_config(config)
        .to_service_builder()
        .build(Server::new(Arc::clone(&node)).into_rpc(), stop);
    let service = TowerToHyperService::new(service);
    // The rest of the ending time is for the tasks, which end after the connections.
    let time_limit = node.options.ending_time() * 7 / 10;
    let connections = Connections::new(&node.shutdown).with_time_limit(time_limit);
    let pending_calls = PendingCalls::default();
    let handler = move |request: Request<Incoming>| {
        let call = pending_calls.start(request.method(), request.uri().path(), &node.shutdown);
        let response = service.call(request);
        async move {
            let response = response.await.unwrap_or_else(|error| {
                log::warn!("call failed: {error}");
                let mut response = HttpResponse::new(HttpBody::empty());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            });
            call.answered();
            response
        }
    };
    connections.serve(listener, handler).await;
}
