//! A fake worker over HTTP.

use std::sync::{Arc, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Serialize;
use telemetry::Shutdown;
use worker::Refusal;
use worker::call::{Adopt, Heartbeat, Moment, Run, Start, Stop, Throttle, Void};

use crate::timed::Timed;
use crate::{Machine, WorkerFaults};

/// Interval at which the time of the worker advances, and a frozen worker is checked for its end.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A fake worker with the clock of its process.
#[derive(Clone, Debug)]
pub struct ServedMachine {
    machine: Arc<Timed<Machine>>,
}

impl ServedMachine {
    /// Wraps a worker; its clock starts now.
    #[must_use]
    pub fn new(machine: Machine) -> Self {
        Self {
            machine: Arc::new(Timed::new(machine)),
        }
    }

    /// Advances the time of the worker until shutdown.
    pub async fn tick(self, stop: Shutdown) {
        while stop.sleep(TICK_INTERVAL).await {
            self.machine.change(Machine::tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock()
    }

    /// Calls the worker; while it is frozen, waits and does not answer.
    async fn call<T: Serialize>(
        &self,
        call: impl FnOnce(&mut Machine, Moment) -> Result<T, Refusal>,
    ) -> Response {
        while self.lock().faults().frozen {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        match self.machine.change(call) {
            Ok(value) => Json(value).into_response(),
            Err(refusal) => (StatusCode::CONFLICT, Json(refusal)).into_response(),
        }
    }
}

/// The calls of a worker, and `/control`, `/restart` and `/journal` for tests and operators.
pub fn machine_router(served: ServedMachine) -> Router {
    Router::new()
        .route("/hello", post(hello))
        .route("/adopt", post(adopt))
        .route("/pulse", post(heartbeat))
        .route("/run", post(run))
        .route("/void", post(void))
        .route("/start", post(start))
        .route("/stop", post(stop))
        .route("/throttle", post(throttle))
        .route("/control", post(set_faults))
        .route("/restart", post(restart))
        .route("/journal", get(journal))
        .with_state(served)
}

async fn hello(State(served): State<ServedMachine>) -> Response {
    served.call(|m, _| Ok(m.hello())).await
}

async fn adopt(State(served): State<ServedMachine>, Json(adopt): Json<Adopt>) -> Response {
    served.call(|m, now| m.adopt(&adopt, now)).await
}

async fn heartbeat(
    State(served): State<ServedMachine>,
    Json(heartbeat): Json<Heartbeat>,
) -> Response {
    served.call(|m, now| m.heartbeat(&heartbeat, now)).await
}

async fn run(State(served): State<ServedMachine>, Json(run): Json<Run>) -> Response {
    let started = served
        .call(|m, now| m.begin_run(&run, now, unix_ms()))
        .await;
    if started.status() != StatusCode::OK {
        return started;
    }
    tokio::time::sleep(Machine::run_duration(&run)).await;
    let ran = served.lock().end_run(&run, unix_ms());
    let faults = served.lock().faults();
    if faults.loses_answers || faults.frozen {
        std::future::pending::<()>().await;
    }
    match ran {
        Some(ran) => Json(ran).into_response(),
        None => StatusCode::GONE.into_response(),
    }
}

async fn void(State(served): State<ServedMachine>, Json(void): Json<Void>) -> Response {
    served.call(|m, _| m.void(&void, unix_ms())).await
}

async fn start(State(served): State<ServedMachine>, Json(start): Json<Start>) -> Response {
    served.call(|m, now| m.start(&start, now)).await
}

async fn stop(State(served): State<ServedMachine>, Json(stop): Json<Stop>) -> Response {
    served.call(|m, now| m.stop(&stop, now)).await
}

async fn throttle(State(served): State<ServedMachine>, Json(throttle): Json<Throttle>) -> Response {
    served.call(|m, _| m.throttle(&throttle)).await
}

async fn set_faults(State(served): State<ServedMachine>, Json(faults): Json<WorkerFaults>) {
    served.lock().set(faults);
}

async fn restart(State(served): State<ServedMachine>) {
    served.lock().restart();
}

async fn journal(State(served): State<ServedMachine>) -> Response {
    Json(served.lock().journal().clone()).into_response()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
