//! A cell inside the test process: one placer and one entry, over TCP on loopback, with a fake
//! platform and fake workers.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of this module"
)]

pub mod connection;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{Builder, raw};
use entry::{Entry, serve};
use hyper::Method;
use jsonrpsee::server::{Server as Listener, ServerHandle};
use placer::{Node, Options, Rpc, Server};
use platform::{Host, HostStatus, Table as _, Transaction};
use resource::Size;
use standin::{Platform, Racks};
use telemetry::Shutdown;
use tokio::net::TcpListener;
use wire::rpc::PlacerServer as _;

pub struct Cell {
    pub platform: Arc<Platform>,
    pub racks: Racks,
    pub placer: Shutdown,
    pub placer_address: SocketAddr,
    pub server: ServerHandle,
    pub entry: Shutdown,
    pub address: SocketAddr,
    serving: tokio::task::JoinHandle<()>,
}

/// One rack in one region, one team, one service.
pub fn configuration() -> raw::Cell {
    Builder::new("test")
        .rack("north", "north-1", "r1")
        .team("officers", "north", 64.0, 262_144)
        .service("checks", "north", 1_000)
        .into_raw()
}

impl Cell {
    pub async fn start() -> Self {
        let platform: Arc<Platform> = Arc::default();
        let racks = Racks::default();
        for n in 0..3 {
            let name = format!("r1-{n}");
            racks.add(&name, Size::new(16_000, 65_536, 0), 8);
            let (rack, status) = ("r1".to_owned(), HostStatus::Live);
            platform.list(Host {
                address: name.clone(),
                name,
                rack,
                status,
            });
        }
        let value = serde_json::to_string(&configuration()).unwrap();
        platform
            .commit(Transaction::default().put(config::ROW, value))
            .await
            .unwrap();

        let placer = Shutdown::default();
        let listener = Listener::builder().build("127.0.0.1:0").await.unwrap();
        let placer_address = listener.local_addr().unwrap();
        let options =
            Options::new("p1", &placer_address.to_string()).with_location("north", "north-1");
        let (store, workers) = (Arc::clone(&platform), Arc::new(racks.clone()));
        let node = Node::new(
            options,
            store.clone(),
            store,
            workers,
            Arc::new(Rpc::default()),
            placer.clone(),
        );
        let server = listener.start(Server::new(Arc::clone(&node)).into_rpc());
        node.spawn();

        let stop = Shutdown::default();
        let (address, serving) = serve_entry(vec![placer_address.to_string()], &stop).await;
        let cell = Self {
            platform,
            racks,
            placer,
            placer_address,
            server,
            entry: stop,
            address,
            serving,
        };
        cell.wait_until_serving().await;
        cell
    }

    /// Waits until a request succeeds.
    async fn wait_until_serving(&self) {
        for n in 0..2_000 {
            let answer = post_request(
                self.address,
                &format!("settle-{n}"),
                &headers("k", true),
                "x",
            )
            .await;
            if answer.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("no request succeeded within 2000 attempts");
    }

    pub fn run_count(&self, id: &str) -> usize {
        let id = format!("officers/{id}");
        let journals = self.racks.journals();
        journals
            .values()
            .flat_map(|j| &j.runs)
            .filter(|run| run.id == id)
            .count()
    }

    pub async fn end(self) {
        self.entry.join().await;
        self.serving.await.unwrap();
        self.placer.join().await;
        _ = self.server.stop();
    }
}

/// Serves an entry that gets its routes from these placers.
pub async fn serve_entry(
    placers: Vec<String>,
    stop: &Shutdown,
) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    serve_entry_until(placers, stop, Duration::from_secs(10)).await
}

/// Serves an entry that ends this long after it begins to drain.
pub async fn serve_entry_until(
    placers: Vec<String>,
    stop: &Shutdown,
    max_drain: Duration,
) -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let entry = Entry::new("e1", placers, stop.clone());
    entry.spawn(Duration::from_millis(50));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let options = entry::Options::default().with_max_drain(max_drain);
    let serving = tokio::spawn(serve::run(listener, entry, options));
    (address, serving)
}

/// Response as a caller receives it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub answer: String,
    pub retry_after: Option<String>,
    pub body: String,
}

pub type Headers = Vec<(&'static str, String)>;

pub fn headers(key: &str, idempotent: bool) -> Headers {
    vec![
        ("lentilyoke-team", "officers".to_owned()),
        ("lentilyoke-service", "checks".to_owned()),
        ("lentilyoke-key", key.to_owned()),
        ("lentilyoke-idempotent", idempotent.to_string()),
        ("lentilyoke-deadline-ms", "2000".to_owned()),
    ]
}

pub async fn post_request(entry: SocketAddr, id: &str, headers: &Headers, body: &str) -> Reply {
    call(
        entry,
        Method::POST,
        &format!("/v1/requests/{id}"),
        headers,
        body,
    )
    .await
}

pub async fn call(
    entry: SocketAddr,
    method: Method,
    path: &str,
    headers: &Headers,
    body: &str,
) -> Reply {
    use http_body_util::{BodyExt as _, Full};
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut request = hyper::Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"));
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let body: Full<bytes::Bytes> = Full::from(body.to_owned());
    let response = client.request(request.body(body).unwrap()).await.unwrap();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let (answer, retry_after) = (
        header("lentilyoke-answer").unwrap_or_default(),
        header("retry-after"),
    );
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    Reply {
        status,
        answer,
        retry_after,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}
