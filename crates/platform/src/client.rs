//! HTTP client for the platform.

use std::time::Duration;

use async_trait::async_trait;
use hyper::{Method, StatusCode};
use resource::id;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::error::Error;
use crate::{Host, Hosts, Objects, Row, Scan, Table, Transaction, Version, http};

/// Time limit of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Calls the platform over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    http: http::Client,
}

impl Client {
    /// A client for the platform at this `ip:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            base: format!("http://{address}"),
            http: http::Client::default(),
        }
    }

    async fn post(&self, path: &str, body: &serde_json::Value) -> Result<http::Reply, Error> {
        let url = format!("{}{path}", self.base);
        let reply = self
            .http
            .post(&url, body, CALL_TIMEOUT)
            .await
            .map_err(Error::from)?;
        if reply.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Down {
                reason: "it says so itself".to_owned(),
            });
        }
        Ok(reply)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        body: serde_json::Value,
    ) -> Result<T, Error> {
        let reply = self.post(path, &body).await?;
        reply.json().map_err(Error::from)
    }
}

#[async_trait]
impl Table for Client {
    async fn commit(&self, transaction: Transaction) -> Result<Version, Error> {
        let body = json!(transaction);
        let reply = self.post("/table/commit", &body).await?;
        if reply.status == StatusCode::CONFLICT {
            let rows: Vec<Row> = reply.json()?;
            return Err(Error::Conflict { rows });
        }
        Ok(reply.json()?)
    }

    async fn scan(&self, prefixes: &[&str], since: Version) -> Result<Scan, Error> {
        self.read(
            "/table/scan",
            json!({ "prefixes": prefixes, "since": since }),
        )
        .await
    }
}

#[async_trait]
impl Hosts for Client {
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<Host>, Error> {
        self.read("/hosts/list", json!({ "racks": racks })).await
    }
}

#[async_trait]
impl Objects for Client {
    async fn put(&self, name: &str, value: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/objects/{name}", self.base);
        let reply = self
            .http
            .call(Method::PUT, &url, value, CALL_TIMEOUT)
            .await?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(Error::Down {
            reason: format!("status {}", reply.status),
        })
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let url = format!("{}/objects/{name}", self.base);
        let reply = self
            .http
            .call(Method::GET, &url, Vec::new(), CALL_TIMEOUT)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply.body.to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Down {
                reason: format!("status {status}"),
            }),
        }
    }
}

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::NotSent { reason } => Self::Down { reason },
            http::Error::NoAnswer { reason } => Self::Lost { reason },
        }
    }
}
