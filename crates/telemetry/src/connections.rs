//! HTTP/1.1 connections of clients, served until the shutdown ends them.

use std::convert::Infallible;
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::Shutdown;

/// Connections that have had no request yet are closed this long after the shutdown has begun to
/// close connections. Until then their first requests may arrive.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Connections that are still open this long after the shutdown has begun to close connections are
/// dropped: their clients don't read the response.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_millis(700);
/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts HTTP/1.1 connections and serves them until the shutdown ends them.
///
/// While the program drains, each response ends its connection, so that the client makes its next
/// call elsewhere. When connections are closed, those that wait in the listener's queue are still
/// served, and calls in progress are completed within a time limit.
#[derive(Clone, Debug)]
pub struct Connections {
    shutdown: Shutdown,
    time_limit: Duration,
}

impl Connections {
    /// Connections that end at this shutdown.
    #[must_use]
    pub fn new(shutdown: &Shutdown) -> Self {
        Self {
            shutdown: shutdown.clone(),
            time_limit: DEFAULT_TIME_LIMIT,
        }
    }

    /// Sets after which time connections are dropped, counted from [`Shutdown::closing`].
    #[must_use]
    pub fn with_time_limit(self, time_limit: Duration) -> Self {
        Self { time_limit, ..self }
    }

    /// Serves connections until they have to be closed; to be spawned with
    /// [`Shutdown::spawn_connection`], as this function does with each connection.
    pub async fn serve<F, R, B>(self, listener: TcpListener, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let serve = |stream: TcpStream| {
            drop(stream.set_nodelay(true));
            let connection = self.clone().serve_connection(stream, handler.clone());
            self.shutdown.spawn_connection(connection);
        };
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => serve(stream),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                () = self.shutdown.closing() => break,
            }
        }
        // Connections in the listener's queue would be reset when it is closed.
        for stream in queued_connections(listener) {
            serve(stream);
        }
    }

    /// Serves a connection until its client or the shutdown ends it.
    async fn serve_connection<F, R, B>(self, stream: TcpStream, handler: F)
    where
        F: Fn(Request<Incoming>) -> R,
        R: Future<Output = Response<B>>,
        B: Body + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let shutdown = &self.shutdown;
        let has_request = AtomicBool::new(false);
        let service = service_fn(|request| {
            has_request.store(true, Ordering::Relaxed);
            let response = handler(request);
            async {
                let mut response = response.await;
                if shutdown.is_draining() {
                    // Ends the connection, so that the client makes its next call elsewhere.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let last_request = async {
            shutdown.closing().await;
            if has_request.load(Ordering::Relaxed) {
                // Lets the runtime notice requests that have arrived.
                tokio::task::yield_now().await;
            } else {
                let limit = FIRST_REQUEST_TIMEOUT.min(self.time_limit);
                shutdown.closing_for(limit).await;
            }
        };
        tokio::select! {
            // A request that has arrived is read before its connection is closed as idle.
            biased;
            served = connection.as_mut() => drop(served),
            () = last_request => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    // A response that is due by now is sent before the connection is dropped.
                    biased;
                    served = connection => drop(served),
                    () = shutdown.closing_for(self.time_limit) => {}
                }
            }
        }
    }
}

/// Closes a listener and returns the connections that it had not accepted yet.
fn queued_connections(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let streams = std::iter::from_fn(|| listener.accept().ok());
    let streams = streams.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}
