//! What an entry says when owners fail.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use std::net::SocketAddr;
use std::time::Duration;

use cell::{Cell, ask, configuration, headers, serve_entry};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server as Listener, ServerHandle};
use telemetry::Shutdown;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use wire::{Owner, RouteQuery, Routes};

/// A placer that names this address as the owner of the rack.
async fn naming(owner: SocketAddr) -> (SocketAddr, ServerHandle) {
    let mut module = RpcModule::new(());
    module
        .register_method("routes", move |params, (), _| -> RpcResult<Routes> {
            let ask: RouteQuery = params.one().unwrap();
            let owner = Owner {
                placer: "p".to_owned(),
                address: owner.to_string(),
                epoch: 1,
            };
            let config = (ask.applied < 1).then(|| (1, configuration()));
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

/// An owner that reads what it gets and breaks the connection.
async fn breaking() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut some = [0; 256];
            drop(stream.read(&mut some).await);
        }
    });
    address
}

async fn until_configured(entry: SocketAddr) {
    for _ in 0..1_000 {
        if ask(entry, "x", &headers("k", true), "x").await.status != 503 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Callers see: "may have run". The owner took the request and broke the connection; every later
/// try brings nothing either, so nobody may say that it did not run.
#[tokio::test]
async fn an_owner_that_breaks_off_may_have_run_it() {
    let (placer, server) = naming(breaking().await).await;
    let stop = Shutdown::default();
    let (entry, serving) = serve_entry(vec![placer.to_string()], &stop).await;
    until_configured(entry).await;
    let got = ask(entry, "a", &headers("k", false), "x").await;
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

/// Callers see: "not run" with a time to come back. The owner's port refuses connections, so
/// nothing was ever sent.
#[tokio::test]
async fn an_owner_that_is_gone_has_not_run_it() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let (placer, server) = naming(address).await;
    let stop = Shutdown::default();
    let (entry, serving) = serve_entry(vec![placer.to_string()], &stop).await;
    for _ in 0..100 {
        let got = ask(entry, "a", &headers("k", false), "x").await;
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

/// Callers see: "not run", at once, from an entry that hears of no placer: it may have been cut off
/// while a configuration was accepted that it does not know.
#[tokio::test]
async fn an_entry_that_hears_of_no_placer_does_not_serve() {
    let cell = Cell::start().await;
    _ = cell.server.stop();
    cell.server.clone().stopped().await;
    let mut last = None;
    for n in 0..2_000 {
        let got = ask(cell.address, &format!("a{n}"), &headers("k", true), "x").await;
        let told = got.body.contains("hears of no placer");
        assert_ne!(got.answer, "done");
        last = Some(got);
        if told {
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

/// Callers see: every request that the entry holds is answered in full. The entry is told to stop
/// while twenty run; it takes no new connection and ends once they are answered.
#[tokio::test]
async fn a_planned_stop_of_an_entry_cuts_nothing_off() {
    let cell = Cell::start().await;
    let address = cell.address;
    let held: Vec<_> = (0..20)
        .map(|n| {
            tokio::spawn(async move {
                let body = "work_ms=300";
                ask(
                    address,
                    &format!("a{n}"),
                    &headers(&format!("k{n}"), false),
                    body,
                )
                .await
            })
        })
        .collect();
    while (0..20).any(|n| cell.runs(&format!("a{n}")) == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    cell.entry.drain();
    for answer in held {
        let got = answer.await.unwrap();
        assert_eq!((got.status, got.answer.as_str()), (200, "done"), "{got:?}");
    }
    cell.end().await;
}

/// Callers see: answers to their own requests over one connection that is used again and again.
#[tokio::test]
async fn answers_over_reused_connections_are_one_s_own() {
    let cell = Cell::start().await;
    for n in 0..50 {
        let (id, key) = (format!("a{n}"), format!("k{n}"));
        let got = ask(cell.address, &id, &headers(&key, n % 2 == 0), "work_ms=1").await;
        assert_eq!(got.body, format!("officers/{id} checks/{key} work_ms=1"));
    }
    cell.end().await;
}
