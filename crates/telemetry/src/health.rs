//! Metrics, health and readiness over HTTP.

use std::future::IntoFuture as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusBuilder;
use snafu::{ResultExt as _, Whatever};
use tokio::net::TcpListener;

use crate::Shutdown;

/// Requests that aren't completed this long after all tasks have to end are dropped.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Readiness of the program, served over HTTP with its metrics.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ready: Arc<AtomicBool>,
}

impl Health {
    /// Sets whether the program is ready for work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the program is ready for work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Serves `/metrics`, `/health` and `/ready`, and returns the address that it listens on. A
    /// program that drains isn't ready.
    ///
    /// # Errors
    /// If the address can't be bound or a metrics recorder is already installed.
    pub async fn serve(
        &self,
        address: SocketAddr,
        shutdown: &Shutdown,
    ) -> Result<SocketAddr, Whatever> {
        let recorder = PrometheusBuilder::new()
            .install_recorder()
            .whatever_context("metrics: a recorder is already installed")?;
        let (health, stop) = (self.clone(), shutdown.clone());
        let ready = move || async move {
            if health.is_ready() && !stop.is_draining() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
        };
        let router = Router::new()
            .route("/metrics", get(move || async move { recorder.render() }))
            .route("/health", get(|| async { StatusCode::OK }))
            .route("/ready", get(ready));
        let listener = TcpListener::bind(address)
            .await
            .with_whatever_context(|_| format!("metrics: can't listen on {address}"))?;
        let address = listener
            .local_addr()
            .whatever_context("metrics: the listener has no local address")?;
        let end_signal = shutdown.clone();
        shutdown.spawn(async move {
            let graceful_end = end_signal.clone();
            let server = axum::serve(listener, router)
                .with_graceful_shutdown(async move { graceful_end.ended().await })
                .into_future();
            let limit = async {
                end_signal.ended().await;
                tokio::time::sleep(LAST_RESPONSE_TIMEOUT).await;
            };
            tokio::select! {
                served = server => drop(served),
                () = limit => {}
            }
        });
        Ok(address)
    }
}
