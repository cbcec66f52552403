//! What callers see on their connections while an entry shuts down.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use std::time::Duration;

use cell::Cell;
use cell::connection::{Call, Connection, Outcome};
use hyper::Method;
use tokio::net::TcpStream;
use tokio::time::sleep;

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
