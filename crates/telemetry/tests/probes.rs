//! The end of a program whose metrics and readiness are being probed.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use telemetry::{Health, Shutdown};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// How long the end of a program is awaited.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a program that waits for a probe that never completes its request.
#[tokio::test]
async fn an_incomplete_probe_does_not_hold_up_the_end() {
    let shutdown = Shutdown::default();
    let address = Health::default()
        .serve("127.0.0.1:0".parse().unwrap(), &shutdown)
        .await
        .unwrap();
    let mut probe = TcpStream::connect(address).await.unwrap();
    probe.write_all(b"GET /ready HTTP").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let ended = tokio::time::timeout(TIMEOUT, shutdown.join()).await;
    assert!(ended.is_ok(), "still running after {TIMEOUT:?}");
}
