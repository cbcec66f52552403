//! One worker over HTTP.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Serialize;
use telemetry::{Shutdown, Uptime};
use worker::Refusal;
use worker::call::{Adopt, Heartbeat, Moment, Run, Start, Stop, Throttle, Void};

use crate::{Machine, Mischief};

/// How often tasks are looked at.
const TICK: Duration = Duration::from_millis(20);

/// A worker that is served.
#[derive(Clone, Debug)]
pub struct Control {
    machine: Arc<Mutex<Machine>>,
    since: Uptime,
}

impl Control {
    /// Serves this machine from now on.
    #[must_use]
    pub fn new(machine: Machine) -> Self {
        Self {
            machine: Arc::new(Mutex::new(machine)),
            since: Uptime::start(),
        }
    }

    /// Lets time pass until the program ends.
    pub async fn tick(self, ending: Shutdown) {
        while ending.sleep(TICK).await {
            let now = self.now();
            self.lock().tick(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        self.since.elapsed().as_millis() as Moment
    }

    /// Calls the machine, unless it is frozen: then nothing answers until it thaws.
    async fn call<T: Serialize>(
        &self,
        call: impl FnOnce(&mut Machine, Moment) -> Result<T, Refusal>,
    ) -> Response {
        while self.lock().mischief().frozen {
            tokio::time::sleep(TICK).await;
        }
        let now = self.now();
        match call(&mut self.lock(), now) {
            Ok(value) => Json(value).into_response(),
            Err(refusal) => (StatusCode::CONFLICT, Json(refusal)).into_response(),
        }
    }
}

/// Serves a worker: its own calls, and `/control` and `/journal` for whoever runs it.
pub fn machines(control: Control) -> Router {
    Router::new()
        .route("/hello", post(hello))
        .route("/adopt", post(adopt))
        .route("/pulse", post(pulse))
        .route("/run", post(run))
        .route("/void", post(void))
        .route("/start", post(start))
        .route("/stop", post(stop))
        .route("/throttle", post(throttle))
        .route("/control", post(mischief))
        .route("/restart", post(restart))
        .route("/journal", get(journal))
        .with_state(control)
}

async fn hello(State(control): State<Control>) -> Response {
    control.call(|m, _| Ok(m.hello())).await
}

async fn adopt(State(control): State<Control>, Json(adopt): Json<Adopt>) -> Response {
    control.call(|m, now| m.adopt(&adopt, now)).await
}

async fn pulse(State(control): State<Control>, Json(pulse): Json<Heartbeat>) -> Response {
    control.call(|m, now| m.pulse(&pulse, now)).await
}

async fn run(State(control): State<Control>, Json(run): Json<Run>) -> Response {
    let begun = control.call(|m, now| m.begin(&run, now, wall())).await;
    if begun.status() != StatusCode::OK {
        return begun;
    }
    tokio::time::sleep(Machine::work(&run)).await;
    let ran = control.lock().end(&run, wall());
    let mischief = control.lock().mischief();
    if mischief.loses_answers || mischief.frozen {
        std::future::pending::<()>().await;
    }
    match ran {
        Some(ran) => Json(ran).into_response(),
        None => StatusCode::GONE.into_response(),
    }
}

async fn void(State(control): State<Control>, Json(void): Json<Void>) -> Response {
    control.call(|m, _| m.void(&void, wall())).await
}

async fn start(State(control): State<Control>, Json(start): Json<Start>) -> Response {
    control.call(|m, now| m.start(&start, now)).await
}

async fn stop(State(control): State<Control>, Json(stop): Json<Stop>) -> Response {
    control.call(|m, now| m.stop(&stop, now)).await
}

async fn throttle(State(control): State<Control>, Json(throttle): Json<Throttle>) -> Response {
    control.call(|m, _| m.throttle(&throttle)).await
}

async fn mischief(State(control): State<Control>, Json(mischief): Json<Mischief>) {
    control.lock().set(mischief);
}

async fn restart(State(control): State<Control>) {
    control.lock().restart();
}

async fn journal(State(control): State<Control>) -> Response {
    Json(control.lock().journal().clone()).into_response()
}

fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
