//! Readiness and metrics over HTTP while a program drains.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::net::SocketAddr;

use telemetry::{Health, Shutdown};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// The status line of the response to a request on a connection of its own.
async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response.lines().next().unwrap_or_default().to_owned()
}

/// Guards against a program that reports that it is ready while it drains.
#[tokio::test]
async fn a_draining_program_is_not_ready() {
    let (health, shutdown) = (Health::default(), Shutdown::default());
    health.set_ready(true);
    let address = health
        .serve("127.0.0.1:0".parse().unwrap(), &shutdown)
        .await
        .unwrap();
    assert_eq!(get(address, "/ready").await, "HTTP/1.1 200 OK");
    shutdown.drain();
    let ready = get(address, "/ready").await;
    assert_eq!(ready, "HTTP/1.1 503 Service Unavailable");
    shutdown.close().await;
    assert_eq!(get(address, "/metrics").await, "HTTP/1.1 200 OK");
    shutdown.join().await;
}
