//! The fake link between regions relays all bytes in order and counts them.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::{LinkTraffic, link};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Guards against lost or reordered bytes: an echo of 200000 bytes returns unchanged, and the link
/// has counted them in both directions.
#[tokio::test]
async fn a_link_relays_both_directions_completely() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = target.local_addr().unwrap().to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let traffic = Arc::new(LinkTraffic::default());
    let relay = tokio::spawn(link(
        listener,
        to,
        Duration::from_millis(1),
        Arc::clone(&traffic),
    ));
    let echo = tokio::spawn(async move {
        let (mut stream, _) = target.accept().await.unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await.unwrap();
        stream.write_all(&all).await.unwrap();
    });
    let sent: Vec<u8> = (0..200_000_u32).map(|n| n as u8).collect();
    let (mut read, mut write) = TcpStream::connect(address).await.unwrap().into_split();
    write.write_all(&sent).await.unwrap();
    write.shutdown().await.unwrap();
    let mut got = Vec::new();
    read.read_to_end(&mut got).await.unwrap();
    assert!(got == sent, "{} bytes of {}", got.len(), sent.len());
    assert_eq!(traffic.outbound.load(Ordering::Relaxed), 200_000);
    assert_eq!(traffic.inbound.load(Ordering::Relaxed), 200_000);
    echo.await.unwrap();
    relay.abort();
}
