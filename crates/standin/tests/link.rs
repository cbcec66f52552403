//! The link between regions passes on everything, in order, and counts it.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::{Carried, link};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Both sides see what the other sent, whole; the link has counted both ways.
#[tokio::test]
async fn a_link_carries_everything_both_ways() {
    let far = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = far.local_addr().unwrap().to_string();
    let near = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = near.local_addr().unwrap();
    let carried = Arc::new(Carried::default());
    let linking = tokio::spawn(link(
        near,
        to,
        Duration::from_millis(1),
        Arc::clone(&carried),
    ));
    let echo = tokio::spawn(async move {
        let (mut stream, _) = far.accept().await.unwrap();
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
    assert_eq!(carried.there.load(Ordering::Relaxed), 200_000);
    assert_eq!(carried.back.load(Ordering::Relaxed), 200_000);
    echo.await.unwrap();
    linking.abort();
}
