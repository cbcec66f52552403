//! A small HTTP client for calls to the platform and the workers.

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

/// Maximum size of a response body, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Idle connections are closed after this time, before a typical server closes them while a request
/// is being sent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be made, so the server has not received the request.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Details of the failure.
        reason: String,
    },
    /// The request was sent, but no complete response was received.
    #[snafu(display("no complete response: {reason}"))]
    NoAnswer {
        /// Details of the failure.
        reason: String,
    },
}

/// An HTTP response with its complete body.
#[derive(Debug)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Makes calls with a time limit and keeps connections open.
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
    /// A client with a time limit of `connect` for opening a connection.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        // The library must not repeat requests on its own: a repeated request could start work
        // twice under the same attempt number.
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool }
    }

    /// Makes a call. A body that is shorter than its declared length counts as no response.
    ///
    /// # Errors
    /// [`Error::NotSent`] only if the request was not sent, [`Error::NoAnswer`] otherwise.
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
            let body = Limited::new(reply.into_body(), MAX_REPLY_BYTES)
                .collect()
                .await;
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
                reason: format!("no response within {limit:?}"),
            }),
        }
    }

    /// Posts a value as JSON.
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
    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// [`Error::NoAnswer`] if the body is not a `T` in JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|e| Error::NoAnswer {
            reason: e.to_string(),
        })
    }
}
