//! A caller.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use wire::Class;

/// What a caller concludes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer of the system.
    Class(Class),
    /// Not even a connection: nothing was asked.
    NotAsked,
    /// No whole answer: nothing can be concluded.
    NoAnswer,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    /// What it concludes.
    pub outcome: Outcome,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Makes calls to one entry.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A caller of the entry at this `ip:port`.
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

    /// Makes a call and waits for the whole answer, at most `limit`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
        limit: Duration,
    ) -> Got {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let Ok(request) = request.body(Full::from(body)) else {
            return Got::nothing(Outcome::NotAsked);
        };
        let exchange = async {
            let reply = match self.pool.request(request).await {
                Ok(reply) => reply,
                Err(error) if error.is_connect() => return Got::nothing(Outcome::NotAsked),
                Err(_) => return Got::nothing(Outcome::NoAnswer),
            };
            let status = reply.status();
            let outcome = conclude(status, reply.headers());
            match reply.into_body().collect().await {
                Ok(body) => Got {
                    outcome,
                    status: status.as_u16(),
                    body: body.to_bytes(),
                },
                Err(_) => Got::nothing(Outcome::NoAnswer),
            }
        };
        let ended = tokio::time::timeout(limit, exchange).await;
        ended.unwrap_or_else(|_| Got::nothing(Outcome::NoAnswer))
    }
}

impl Got {
    const fn nothing(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: 0,
            body: Bytes::new(),
        }
    }
}

fn conclude(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let word = headers
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
        .find(|class| Some(class.as_str()) == word);
    match class {
        Some(class) if (class == Class::Done) == status.is_success() => Outcome::Class(class),
        _ => Outcome::NoAnswer,
    }
}
