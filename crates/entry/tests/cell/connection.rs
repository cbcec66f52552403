//! A caller's connection to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Headers, headers};

/// How long a response is awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's connection to an entry. Unlike a client that connects anew when a connection fails, it
/// tells what became of each call on this one connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
}

/// A call on a [`Connection`].
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: Headers,
    pub body: String,
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was received completely.
    Answered {
        status: u16,
        /// What the caller may conclude, from the header.
        answer: String,
        body: String,
        /// The entry ends the connection after this response.
        closes: bool,
    },
    /// The connection had ended before the request was sent.
    NotSent,
    /// The connection ended after the request was sent, without a complete response.
    Cut,
}

impl Connection {
    pub async fn open(entry: SocketAddr) -> std::io::Result<Self> {
        Self::on(TcpStream::connect(entry).await?).await
    }

    /// Uses a connection that is already open.
    pub async fn on(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Makes a call; panics if it is neither answered nor cut for long.
    pub async fn call(&mut self, call: &Call) -> Outcome {
        let outcome = timeout(RESPONSE_TIMEOUT, self.exchange(call))
            .await
            .expect("the call ends");
        match outcome {
            Ok(outcome) => outcome,
            Err(error) if error.is_canceled() => Outcome::NotSent,
            Err(_) => Outcome::Cut,
        }
    }

    async fn exchange(&mut self, call: &Call) -> Result<Outcome, hyper::Error> {
        if self.sender.ready().await.is_err() {
            return Ok(Outcome::NotSent);
        }
        let response = self.sender.send_request(call.request()).await?;
        let header = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let closes = header(CONNECTION.as_str()).is_some_and(|value| value == "close");
        let answer = header("lentilyoke-answer").unwrap_or_default();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Outcome::Answered {
            status,
            answer,
            body: String::from_utf8_lossy(&body).into_owned(),
            closes,
        })
    }
}

impl Call {
    /// A call without headers and body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Headers::new(),
            body: String::new(),
        }
    }

    /// A quick request.
    pub fn quick_request(id: &str, idempotent: bool, body: &str) -> Self {
        Self {
            headers: headers(id, idempotent),
            body: body.to_owned(),
            ..Self::new(Method::POST, &format!("/v1/requests/{id}"))
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(&self.method)
            .uri(&self.path)
            .header(HOST, "entry");
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request
            .body(Full::from(self.body.clone()))
            .expect("method, path and headers are valid")
    }
}
