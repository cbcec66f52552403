//! Connections of callers of a placer while it drains and ends.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cluster::{Cluster, ms, secs};
use placer::Node;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// How long a response, or the end of a placer, is awaited.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A cell with one placer, served over TCP.
struct Served {
    cluster: Cluster,
    node: Arc<Node>,
    address: SocketAddr,
}

impl Served {
    async fn start() -> Self {
        let mut cluster = Cluster::new(1, 3).await;
        let node = cluster.start("p1");
        cluster.wait_for_owners(secs(10)).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = placer::serve(listener, Arc::clone(&node));
        node.shutdown.spawn_connection(serving);
        Self {
            cluster,
            node,
            address,
        }
    }

    async fn stop(self) {
        tokio::time::timeout(TIMEOUT, self.node.stop())
            .await
            .expect("the placer ends");
        self.cluster.end().await;
    }
}

/// Makes a call on an open connection and returns the response with its head; empty if the
/// connection ended without one.
async fn call(stream: &mut TcpStream) -> String {
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"status","params":[]}"#;
    let head = format!(
        "POST / HTTP/1.1\r\nhost: placer\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let request = head + body;
    if stream.write_all(request.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut response = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while !response.ends_with(b"}}") {
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => response.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
    };
    tokio::time::timeout(TIMEOUT, read)
        .await
        .expect("the call ends");
    String::from_utf8(response).unwrap()
}

/// Guards against entries that learn of a shutdown only when their connection is closed under a
/// call: they can't tell whether the call was read, and report that it may have run.
#[tokio::test]
async fn responses_of_a_draining_placer_end_their_connections() {
    let served = Served::start().await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    let first = call(&mut stream).await;
    assert!(first.contains("\"draining\":false"), "{first}");
    assert!(!first.contains("connection: close"), "{first}");
    served.node.shutdown.drain();
    let last = call(&mut stream).await;
    assert!(last.contains("\"draining\":true"), "{last}");
    assert!(last.contains("connection: close"), "{last}");
    served.stop().await;
}

/// Guards against calls on connections that are reset in the listener's queue.
#[tokio::test]
async fn a_connection_made_just_before_the_listener_closes_gets_a_response() {
    let served = Served::start().await;
    served.node.drain().await;
    // Connects without letting the placer run, so that the connection waits in the queue.
    let stream = std::net::TcpStream::connect(served.address).unwrap();
    let stopping = tokio::spawn(served.stop());
    tokio::time::sleep(ms(50)).await;
    stream.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::from_std(stream).unwrap();
    let response = call(&mut stream).await;
    assert!(response.contains("\"draining\":true"), "{response:?}");
    stopping.await.unwrap();
}

/// Guards against a placer that waits for a caller that never completes its request.
#[tokio::test]
async fn an_incomplete_request_does_not_hold_up_the_end() {
    let served = Served::start().await;
    let mut stream = TcpStream::connect(served.address).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost:").await.unwrap();
    tokio::time::sleep(ms(50)).await;
    served.stop().await;
}
