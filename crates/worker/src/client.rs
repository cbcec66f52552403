//! HTTP client for the calls of a worker.

use std::time::Duration;

use async_trait::async_trait;
use hyper::StatusCode;
use platform::http;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::call::{
    Adopt, Adopted, Heartbeat, Hello, Report, Run, RunResult, Start, Stop, Stopped, Throttle, Void,
    Voided,
};
use crate::{Error, WorkerApi};

/// Time limit of every call except [`WorkerApi::run`].
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes the calls of [`WorkerApi`] over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    http: http::Client,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            http: http::Client::new(Duration::from_millis(250)),
        }
    }
}

impl Client {
    async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &T,
        limit: Duration,
    ) -> Result<R, Error> {
        let url = format!("http://{address}/{path}");
        let reply = self.http.post(&url, message, limit).await?;
        match reply.status {
            StatusCode::OK => Ok(reply.json()?),
            StatusCode::CONFLICT => Err(Error::Refused {
                refusal: reply.json()?,
            }),
            status => Err(Error::NoAnswer {
                reason: format!("status {status}"),
            }),
        }
    }
}

#[async_trait]
impl WorkerApi for Client {
    async fn hello(&self, address: &str) -> Result<Hello, Error> {
        self.call(address, "hello", &(), CALL_TIMEOUT).await
    }

    async fn adopt(&self, address: &str, adopt: Adopt) -> Result<Adopted, Error> {
        self.call(address, "adopt", &adopt, CALL_TIMEOUT).await
    }

    async fn heartbeat(&self, address: &str, heartbeat: Heartbeat) -> Result<Report, Error> {
        self.call(address, "pulse", &heartbeat, CALL_TIMEOUT).await
    }

    async fn run(&self, address: &str, run: Run, limit: Duration) -> Result<RunResult, Error> {
        let result: RunResult = self.call(address, "run", &run, limit).await?;
        // After a fault, a reused connection can deliver the response to another request, and the
        // caller would get someone else's result. The id and the attempt identify the response.
        if result.id != run.id || result.attempt != run.attempt {
            return Err(Error::NoAnswer {
                reason: format!("response belongs to another request, {}", result.id),
            });
        }
        Ok(result)
    }

    async fn void(&self, address: &str, void: Void) -> Result<Voided, Error> {
        self.call(address, "void", &void, CALL_TIMEOUT).await
    }

    async fn start(&self, address: &str, start: Start) -> Result<(), Error> {
        self.call(address, "start", &start, CALL_TIMEOUT).await
    }

    async fn stop(&self, address: &str, stop: Stop) -> Result<Option<Stopped>, Error> {
        self.call(address, "stop", &stop, CALL_TIMEOUT).await
    }

    async fn throttle(&self, address: &str, throttle: Throttle) -> Result<(), Error> {
        self.call(address, "throttle", &throttle, CALL_TIMEOUT)
            .await
    }
}
