//! Calls of clients that have been read and not been answered yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::http::Method;
use log::warn;
use tokio::time::Instant;

use crate::Shutdown;

/// Number of calls that have been read and not been answered yet.
#[derive(Clone, Debug, Default)]
pub struct PendingCalls {
    count: Arc<AtomicUsize>,
}

impl PendingCalls {
    /// Records that a call has been read.
    #[must_use]
    pub fn start(&self, method: &Method, path: &str, stop: &Shutdown) -> PendingCall {
        self.count.fetch_add(1, Ordering::Relaxed);
        PendingCall {
            calls: self.clone(),
            method: method.clone(),
            path: path.to_owned(),
            started: Instant::now(),
            stop: stop.clone(),
            answered: false,
        }
    }

    /// Number of pending calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// A call that has been read and not been answered yet. If it is dropped before that, it logs that its connection ended without a
/// response.
#[derive(Debug)]
pub struct PendingCall {
    calls: PendingCalls,
    method: Method,
    path: String,
    started: Instant,
    stop: Shutdown,
    answered: bool,
}

impl PendingCall {
    /// Records that there is a response to the call.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.calls.count.fetch_sub(1, Ordering::Relaxed);
        if self.answered {
            return;
        }
        let phase = self.stop.phase().name();
        metrics::counter!("lentilyoke_calls_without_response_total", "phase" => phase).increment(1);
        warn!(
            method = self.method.as_str(), path = self.path, phase = phase,
            ms = self.started.elapsed().as_millis() as u64;
            "connection ended without a response to a call"
        );
    }
}
