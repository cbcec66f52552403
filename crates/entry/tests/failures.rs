//! Answers of an entry when owners or placers fail and while it drains.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use std::net::SocketAddr;
use std::time::Duration;

use cell::{Cell, configuration, headers, post_request, serve_entry};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server as Listener, ServerHandle};
use telemetry::Shutdown;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use wire::{Owner, RouteQuery, Routes};

/// A fake placer whose routes give this address as the owner of the rack.
async fn placer_with_owner(owner: SocketAddr) -> (SocketAddr, ServerHandle) {
    let mut module = RpcModule::new(());
    module
        .register_method("routes", move |params, (), _| -> RpcResult<Routes> {
            let query: RouteQuery = params.one().unwrap();
            let owner = Owner {
                placer: "p".to_owned(),
                address: owner.to_string(),
                epoch: 1,
            };
            let config = (query.applied < 1).then(|| (1, configuration()));
            let owners = Some(vec![("r1".to_owned(), owner)]);
            Ok(Routes {
                generation: 1,
                owners,
                placers: Vec::new(),
                config,
            })
        })
        .unwrap();
    let listener = Listener::builder().build("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (address, listener.start(module))
}

/// A fake owner that reads a part of each request and closes the connection.
async fn owner_that_disconnects() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 256];
            drop(stream.read(&mut buffer).await);
        }
    });
    address
}

async fn wait_until_configured(entry: SocketAddr) {
    for _ in 0..1_000 {
        if post_request(entry, "x", &headers("k", true), "x")
            .await
            .status
            != 503
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a false "not run": the owner received the request and closed the connection, and
/// no retry gets an answer either, so the request may have run.
#[tokio::test]
async fn a_disconnect_by_the_owner_returns_may_have_run() {
    let (placer, server) = placer_with_owner(owner_that_disconnects().await).await;
    let stop = Shutdown::default();
    let (entry, serving) = serve_entry(vec![placer.to_string()], &stop).await;
    wait_until_configured(entry).await;
    let got = post_request(entry, "a", &headers("k", false), "x").await;
    assert_eq!(
        (got.status, got.answer.as_str()),
        (502, "may-have-run"),
        "{got:?}"
    );
    assert_eq!(got.retry_after, None);
    stop.join().await;
    serving.await.unwrap();
    _ = server.stop();
}

/// The owner's port refuses connections, so no request was sent: the answer is "not run" with a
/// `Retry-After`.
#[tokio::test]
async fn a_refused_connection_returns_not_run() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let (placer, server) = placer_with_owner(address).await;
    let stop = Shutdown::default();
    let (entry, serving) = serve_entry(vec![placer.to_string()], &stop).await;
    for _ in 0..100 {
        let got = post_request(entry, "a", &headers("k", false), "x").await;
        assert_eq!(
            (got.status, got.answer.as_str()),
            (503, "not-run"),
            "{got:?}"
        );
        assert!(got.retry_after.is_some(), "{got:?}");
        if got.body.contains("its owner is gone") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    stop.join().await;
    serving.await.unwrap();
    _ = server.stop();
}

/// An entry that reaches no placer returns "not run" rather than serving by a stale configuration:
/// a newer one may have been accepted while it was cut off.
#[tokio::test]
async fn an_entry_without_a_placer_does_not_serve() {
    let cell = Cell::start().await;
    _ = cell.server.stop();
    cell.server.clone().stopped().await;
    let mut last = None;
    for n in 0..2_000 {
        let got = post_request(cell.address, &format!("a{n}"), &headers("k", true), "x").await;
        let reported = got.body.contains("hears of no placer");
        assert_ne!(got.answer, "done");
        last = Some(got);
        if reported {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let got = last.unwrap();
    assert_eq!(
        (got.status, got.answer.as_str()),
        (503, "not-run"),
        "{got:?}"
    );
    cell.end().await;
}

/// Guards against requests cut off by a planned stop: the entry drains while twenty requests run,
/// and all twenty are answered in full before it ends.
#[tokio::test]
async fn draining_completes_requests_in_flight() {
    let cell = Cell::start().await;
    let address = cell.address;
    let in_flight: Vec<_> = (0..20)
        .map(|n| {
            tokio::spawn(async move {
                let body = "work_ms=300";
                post_request(
                    address,
                    &format!("a{n}"),
                    &headers(&format!("k{n}"), false),
                    body,
                )
                .await
            })
        })
        .collect();
    while (0..20).any(|n| cell.run_count(&format!("a{n}")) == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    cell.entry.drain();
    for answer in in_flight {
        let got = answer.await.unwrap();
        assert_eq!((got.status, got.answer.as_str()), (200, "done"), "{got:?}");
    }
    cell.end().await;
}

/// Guards against mixed-up answers: each of fifty requests in a row gets the answer to itself.
#[tokio::test]
async fn each_of_many_requests_gets_its_own_answer() {
    let cell = Cell::start().await;
    for n in 0..50 {
        let (id, key) = (format!("a{n}"), format!("k{n}"));
        let got = post_request(cell.address, &id, &headers(&key, n % 2 == 0), "work_ms=1").await;
        assert_eq!(got.body, format!("officers/{id} checks/{key} work_ms=1"));
    }
    cell.end().await;
}
