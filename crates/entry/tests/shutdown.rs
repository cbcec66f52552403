//! What callers see on their connections while an entry shuts down.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use cell::connection::{Call, Connection, Outcome};
use cell::{Cell, configuration, serve_entry_until};
use hyper::Method;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server as Listener, ServerHandle};
use telemetry::Shutdown;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use wire::{Owner, RouteQuery, Routes};

/// Time limit of the shutdown of an [`EntryProcess`].
const MAX_DRAIN: Duration = Duration::from_millis(800);

/// An entry on a runtime of its own, which ends with it as a process does.
struct EntryProcess {
    stop: Shutdown,
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl EntryProcess {
    async fn start(placers: Vec<String>) -> Self {
        let stop = Shutdown::default();
        let (started, address) = oneshot::channel();
        let entry = stop.clone();
        let thread = std::thread::spawn(move || {
            let runtime = Runtime::new().unwrap();
            runtime.block_on(async move {
                let (address, serving) = serve_entry_until(placers, &entry, MAX_DRAIN).await;
                started.send(address).unwrap();
                serving.await.unwrap();
                entry.join().await;
            });
            runtime.shutdown_background();
        });
        let address = address.await.unwrap();
        wait_until_ready(address).await;
        Self {
            stop,
            address,
            thread,
        }
    }

    /// Makes a call on a connection of its own, in a task of its own.
    async fn start_call(&self, call: Call) -> tokio::task::JoinHandle<Outcome> {
        let mut connection = Connection::open(self.address).await.unwrap();
        tokio::spawn(async move { connection.call(&call).await })
    }

    /// Shuts the process down and waits for its end.
    async fn end(self) {
        self.stop.drain();
        tokio::task::spawn_blocking(|| self.thread.join().unwrap())
            .await
            .unwrap();
    }
}

/// A fake placer that owns the rack and replies to nothing but queries for routes.
struct SilentOwner {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    _server: ServerHandle,
}

impl SilentOwner {
    async fn start() -> Self {
        let listener = Listener::builder().build("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::<AtomicUsize>::default();
        let mut module = RpcModule::new(Arc::clone(&calls));
        let routes = move |query: &RouteQuery| Routes {
            generation: 1,
            owners: Some(vec![(
                "r1".to_owned(),
                Owner {
                    placer: "p".to_owned(),
                    address: address.to_string(),
                    epoch: 1,
                },
            )]),
            placers: Vec::new(),
            config: (query.applied < 1).then(|| (1, configuration())),
        };
        module
            .register_method("routes", move |params, _, _| -> RpcResult<Routes> {
                Ok(routes(&params.one()?))
            })
            .unwrap();
        for method in ["run", "submit", "watch", "cancel"] {
            module
                .register_async_method(method, |_, calls, _| async move {
                    calls.fetch_add(1, Ordering::Relaxed);
                    std::future::pending::<RpcResult<()>>().await
                })
                .unwrap();
        }
        Self {
            address,
            calls,
            _server: listener.start(module),
        }
    }

    async fn wait_for_calls(&self, count: usize) {
        while self.calls.load(Ordering::Relaxed) < count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Waits until the entry has routes.
async fn wait_until_ready(entry: SocketAddr) {
    let ready = Call::new(Method::GET, "/ready");
    loop {
        let mut connection = Connection::open(entry).await.unwrap();
        if status(&connection.call(&ready).await) == 200 {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// Status and answer class of a call that has to be answered.
fn response(outcome: &Outcome) -> (u16, &str) {
    match outcome {
        Outcome::Answered { status, answer, .. } => (*status, answer),
        other => panic!("no whole response: {other:?}"),
    }
}

fn status(outcome: &Outcome) -> u16 {
    response(outcome).0
}

fn closes(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { closes: true, .. })
}

/// Guards against an entry that refuses connections before a load balancer can know that it drains.
#[tokio::test]
async fn a_draining_entry_reports_that_it_is_not_ready_and_still_serves() {
    let cell = Cell::start().await;
    cell.entry.drain();
    let mut probe = Connection::open(cell.address).await.expect("it listens");
    let ready = probe.call(&Call::new(Method::GET, "/ready")).await;
    assert_eq!(status(&ready), 503);
    let mut caller = Connection::open(cell.address).await.expect("it listens");
    let outcome = caller.call(&Call::quick_request("a", false, "x")).await;
    assert_eq!(response(&outcome), (200, "done"), "{outcome:?}");
    cell.end().await;
}

/// Guards against callers that learn of a shutdown only when their connection is closed under a
/// request.
#[tokio::test]
async fn responses_of_a_draining_entry_end_their_connections() {
    let cell = Cell::start().await;
    let mut connection = Connection::open(cell.address).await.unwrap();
    let first = connection.call(&Call::quick_request("a", false, "x")).await;
    assert!(status(&first) == 200 && !closes(&first), "{first:?}");
    cell.entry.drain();
    sleep(Duration::from_millis(50)).await;
    let last = connection.call(&Call::quick_request("b", false, "x")).await;
    assert!(status(&last) == 200 && closes(&last), "{last:?}");
    while !connection.is_closed() {
        sleep(Duration::from_millis(5)).await;
    }
    cell.end().await;
}

/// Guards against connections that are reset in the listener's queue, and against those that are
/// closed before their first request arrives.
#[tokio::test]
async fn a_connection_made_just_before_the_listener_closes_gets_a_response() {
    let cell = Cell::start().await;
    let (address, stop) = (cell.address, cell.entry.clone());
    // Connects without letting the entry run, so that the connection waits in the listener's queue.
    let stream = std::net::TcpStream::connect(address).unwrap();
    let ending = tokio::spawn(async move { stop.join().await });
    sleep(Duration::from_millis(50)).await;
    stream.set_nonblocking(true).unwrap();
    let stream = TcpStream::from_std(stream).unwrap();
    let mut connection = Connection::on(stream).await.unwrap();
    let outcome = connection.call(&Call::quick_request("a", false, "x")).await;
    assert_eq!(response(&outcome), (503, "not-run"), "{outcome:?}");
    ending.await.unwrap();
    cell.end().await;
}

/// Guards against requests that are cut at the end of the time for draining, and against answers to
/// them that say that they did not run.
#[tokio::test]
async fn a_request_that_outlasts_the_drain_is_answered() {
    let owner = SilentOwner::start().await;
    let entry = EntryProcess::start(vec![owner.address.to_string()]).await;
    let call = entry.start_call(Call::quick_request("a", false, "x")).await;
    owner.wait_for_calls(1).await;
    entry.end().await;
    let outcome = call.await.unwrap();
    assert_eq!(response(&outcome), (502, "may-have-run"), "{outcome:?}");
}

/// Guards against submissions and cancellations that wait for their owner for longer than the entry
/// lives.
#[tokio::test]
async fn job_calls_that_outlast_the_drain_are_answered() {
    let owner = SilentOwner::start().await;
    let entry = EntryProcess::start(vec![owner.address.to_string()]).await;
    let job = "/v1/jobs/officers/j";
    let submission = Call {
        body: r#"{"shape": "batch", "tasks": 1, "run_ms": 5,
                  "size": {"cores": 1, "memory_mib": 16}}"#
            .to_owned(),
        ..Call::new(Method::PUT, job)
    };
    let submission = entry.start_call(submission).await;
    let cancellation = entry.start_call(Call::new(Method::DELETE, job)).await;
    owner.wait_for_calls(2).await;
    entry.end().await;
    for call in [submission, cancellation] {
        let outcome = call.await.unwrap();
        assert_eq!(response(&outcome), (502, "may-have-run"), "{outcome:?}");
    }
}

/// Guards against watch calls that wait for their job for longer than the entry lives.
#[tokio::test]
async fn a_watch_call_returns_the_present_state_at_shutdown() {
    let cell = Cell::start().await;
    let entry = EntryProcess::start(vec![cell.placer_address.to_string()]).await;
    let job = "/v1/jobs/officers/j";
    let submission = Call {
        body: r#"{"shape": "service", "tasks": 1, "run_ms": 0,
                  "size": {"cores": 1, "memory_mib": 16}}"#
            .to_owned(),
        ..Call::new(Method::PUT, job)
    };
    let mut connection = Connection::open(entry.address).await.unwrap();
    let submitted = connection.call(&submission).await;
    assert_eq!(status(&submitted), 200, "{submitted:?}");
    let watch = Call::new(Method::GET, &format!("{job}?wait_ms=30000"));
    let watch = entry.start_call(watch).await;
    sleep(Duration::from_millis(200)).await;
    entry.end().await;
    let outcome = watch.await.unwrap();
    assert_eq!(response(&outcome), (200, "done"), "{outcome:?}");
    cell.end().await;
}

/// Guards against watch calls that are cut while they wait for their owner.
#[tokio::test]
async fn a_watch_call_without_a_state_is_answered_at_shutdown() {
    let owner = SilentOwner::start().await;
    let entry = EntryProcess::start(vec![owner.address.to_string()]).await;
    let watch = Call::new(Method::GET, "/v1/jobs/officers/j?wait_ms=30000");
    let watch = entry.start_call(watch).await;
    owner.wait_for_calls(1).await;
    entry.end().await;
    let outcome = watch.await.unwrap();
    assert_eq!(response(&outcome), (503, "not-run"), "{outcome:?}");
}

/// Guards against an entry that waits for the routes of a silent placer before it ends, and then
/// asks again.
#[tokio::test(start_paused = true)]
async fn a_silent_placer_does_not_hold_up_the_end() {
    let placer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stop = Shutdown::default();
    let placers = vec![placer.local_addr().unwrap().to_string()];
    let (_, serving) = serve_entry_until(placers, &stop, MAX_DRAIN).await;
    let (mut query, _) = placer.accept().await.unwrap();
    assert!(query.read_u8().await.is_ok());
    let ending = Instant::now();
    stop.join().await;
    assert_eq!(ending.elapsed(), Duration::ZERO);
    serving.await.unwrap();
}
