//! HTTP client of a simulated caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use wire::Class;

/// What a caller can conclude from a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer of the system.
    Class(Class),
    /// No connection, so the request was not sent.
    NotSent,
    /// No complete answer, so nothing can be concluded.
    NoAnswer,
}

/// Reply to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What the caller can conclude.
    pub outcome: Outcome,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// HTTP client for one entry.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the entry at this `ip:port`.
    #[must_use]
    pub fn new(entry: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let pool = Pool::builder(TokioExecutor::new()).build(connector);
        Self {
            base: format!("http://{entry}"),
            pool,
        }
    }

    /// Makes a call and waits for the complete answer, for `timeout` at most.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Reply {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let Ok(request) = request.body(Full::from(body)) else {
            return Reply::without_answer(Outcome::NotSent);
        };
        let exchange = async {
            let response = match self.pool.request(request).await {
                Ok(response) => response,
                Err(error) if error.is_connect() => return Reply::without_answer(Outcome::NotSent),
                Err(_) => return Reply::without_answer(Outcome::NoAnswer),
            };
            let status = response.status();
            let outcome = classify(status, response.headers());
            match response.into_body().collect().await {
                Ok(body) => Reply {
                    outcome,
                    status: status.as_u16(),
                    body: body.to_bytes(),
                },
                Err(_) => Reply::without_answer(Outcome::NoAnswer),
            }
        };
        let reply = tokio::time::timeout(timeout, exchange).await;
        reply.unwrap_or_else(|_| Reply::without_answer(Outcome::NoAnswer))
    }
}

impl Reply {
    const fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: 0,
            body: Bytes::new(),
        }
    }
}

fn classify(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let label = headers
        .get("lentilyoke-answer")
        .and_then(|value| value.to_str().ok());
    let classes = [
        Class::Done,
        Class::NotRun,
        Class::MayHaveRun,
        Class::Refused,
    ];
    let class = classes
        .into_iter()
        .find(|class| Some(class.as_str()) == label);
    match class {
        Some(class) if (class == Class::Done) == status.is_success() => Outcome::Class(class),
        _ => Outcome::NoAnswer,
    }
}
