//! A small HTTP client for the platform and the workers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Largest reply that is read, in bytes.
const MAX_REPLY: usize = 16 * 1024 * 1024;
/// An idle connection is closed before the usual server closes it under a request.
const IDLE: Duration = Duration::from_secs(4);

/// What can go wrong with one call.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection: the other side saw nothing of it.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What was seen.
        reason: String,
    },
    /// It was sent, and no whole answer came.
    #[snafu(display("no whole answer: {reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
}

/// A status with the whole body.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// Keeps connections open and makes calls with a time limit.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Duration::from_millis(500))
    }
}

impl Client {
    /// A client that gives up a connection attempt after `connect`.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        // A call that the library repeats by itself could start work twice, unseen by its
        // attempt number; so it must not.
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool }
    }

    /// Makes a call; a body that ends short of its declared length is no answer.
    ///
    /// # Errors
    /// [`Error::NotSent`] only if no connection could be made.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, Error> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::from(body))
            .map_err(|e| Error::NotSent {
                reason: e.to_string(),
            })?;
        let exchange = async {
            let reply = self.pool.request(request).await.map_err(|e| {
                let reason = format!("{e}: {:?}", std::error::Error::source(&e));
                if e.is_connect() {
                    Error::NotSent { reason }
                } else {
                    Error::NoAnswer { reason }
                }
            })?;
            let status = reply.status();
            let body = Limited::new(reply.into_body(), MAX_REPLY).collect().await;
            let body = body
                .map_err(|e| Error::NoAnswer {
                    reason: e.to_string(),
                })?
                .to_bytes();
            Ok(Reply { status, body })
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::NoAnswer {
                reason: format!("nothing within {limit:?}"),
            }),
        }
    }

    /// Posts JSON.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn post<T: Serialize>(
        &self,
        url: &str,
        value: &T,
        limit: Duration,
    ) -> Result<Reply, Error> {
        let body = serde_json::to_vec(value);
        let body = body.map_err(|e| Error::NotSent {
            reason: e.to_string(),
        })?;
        self.call(Method::POST, url, body, limit).await
    }
}

impl Reply {
    /// The body as JSON.
    ///
    /// # Errors
    /// [`Error::NoAnswer`] if it is something else.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::NoAnswer {
            reason: e.to_string(),
        })
    }
}
