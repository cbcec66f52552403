//! Links between hosts over slow connections, which take long to transfer a frame.

use std::io::ErrorKind;
use std::time::Duration;

use host::link::Link;
use host::packed::Packed;
use host::wire::{Call, FromOwner, Heartbeat, Receiver, Reply, Sender, ToOwner};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// A sender from which no byte arrives for this long is considered lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two chunks on a slow connection.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes in one chunk; with the interval between chunks this is 10 Mbit/s.
const CHUNK_BYTES: usize = 125_000;
/// Capacity of the buffer for sent bytes that the connection has not transferred yet.
const BUFFER_BYTES: usize = 8 << 20;

fn heartbeat(labels: usize) -> FromOwner {
    FromOwner::Heartbeat(Heartbeat {
        labels: vec!["a label that makes the frame long".to_owned(); labels],
        ..Heartbeat::default()
    })
}

/// A frame of 3 MB, which takes 2.4 s on a slow connection.
fn large_frame() -> FromOwner {
    heartbeat(3_000_000 / 36)
}

fn labels(message: Option<FromOwner>) -> usize {
    match message {
        Some(FromOwner::Heartbeat(heartbeat)) => heartbeat.labels.len(),
        other => panic!("not a heartbeat: {other:?}"),
    }
}

/// A connection that transfers `chunks` chunks and then nothing more, without being closed.
fn slow_connection(
    chunks: usize,
) -> (
    Sender<FromOwner, DuplexStream>,
    Receiver<FromOwner, DuplexStream>,
) {
    let (sender, mut from) = duplex(BUFFER_BYTES);
    let (mut to, receiver) = duplex(BUFFER_BYTES);
    tokio::spawn(async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        for _ in 0..chunks {
            sleep(CHUNK_INTERVAL).await;
            let bytes = from.read(&mut chunk).await.expect("the sender is open");
            to.write_all(&chunk[..bytes])
                .await
                .expect("the receiver is open");
        }
        std::future::pending::<()>().await;
    });
    (Sender::new(sender), Receiver::new(receiver))
}

async fn send(sender: &mut Sender<FromOwner, DuplexStream>, message: &FromOwner) {
    sender.feed(message).await.expect("sent");
    sender.flush().await.expect("sent");
}

/// Guards against a sender that is considered lost while one of its frames takes longer than the timeout to arrive.
#[tokio::test(start_paused = true)]
async fn a_sender_is_not_silent_while_its_frame_arrives() {
    let (mut sender, mut receiver) = slow_connection(usize::MAX);
    send(&mut sender, &large_frame()).await;
    send(&mut sender, &heartbeat(1)).await;
    let began = Instant::now();
    let first = receiver.next_within(SILENCE_TIMEOUT).await;
    assert_eq!(labels(first.expect("the bytes arrive")), 3_000_000 / 36);
    assert!(began.elapsed() > SILENCE_TIMEOUT * 2, "the frame took long");
    let second = receiver.next_within(SILENCE_TIMEOUT).await;
    assert_eq!(labels(second.expect("the bytes arrive")), 1);
}

/// Guards against a silent sender that is not detected.
#[tokio::test(start_paused = true)]
async fn a_sender_without_bytes_times_out() {
    let (_sender, mut receiver) = slow_connection(usize::MAX);
    let began = Instant::now();
    let error = receiver
        .next_within(SILENCE_TIMEOUT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    assert_eq!(began.elapsed().as_millis(), SILENCE_TIMEOUT.as_millis());
}

/// Guards against a sender that stops in the middle of a frame and is detected late or never.
#[tokio::test(start_paused = true)]
async fn a_sender_that_stops_within_a_frame_times_out() {
    let chunks = 12;
    let (mut sender, mut receiver) = slow_connection(chunks);
    send(&mut sender, &large_frame()).await;
    let began = Instant::now();
    let error = receiver
        .next_within(SILENCE_TIMEOUT)
        .await
        .expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    let all = CHUNK_INTERVAL * chunks as u32 + SILENCE_TIMEOUT;
    assert_eq!(began.elapsed().as_millis(), all.as_millis());
}

/// Guards against losing the received part of a frame when the call that awaits it is cancelled.
#[tokio::test(start_paused = true)]
async fn a_frame_that_is_awaited_in_several_attempts_is_complete() {
    let (mut sender, mut receiver) = slow_connection(usize::MAX);
    send(&mut sender, &large_frame()).await;
    let mut attempts = 0;
    let message = loop {
        attempts += 1;
        let next = receiver.next_within(SILENCE_TIMEOUT);
        if let Ok(message) = timeout(Duration::from_millis(330), next).await {
            break message;
        }
    };
    assert_eq!(labels(message.expect("the bytes arrive")), 3_000_000 / 36);
    assert!(attempts > 5, "the frame arrived too fast for this test");
}

/// A configuration of 3 MB.
fn catalog() -> Packed {
    Packed {
        version: 7,
        text: "x".repeat(3_000_000),
    }
}

/// An owner that answers each call with the configuration; returns the number of calls.
async fn answer_calls(
    mut calls: mpsc::Receiver<ToOwner>,
    mut sender: Sender<FromOwner, DuplexStream>,
) -> u32 {
    let mut count = 0;
    while let Some(ToOwner::Call(number, Call::Catalog)) = calls.recv().await {
        count += 1;
        let reply = Reply::Catalog(catalog());
        send(&mut sender, &FromOwner::Reply(number, reply)).await;
    }
    count
}

/// Passes replies to the link.
async fn read_answers(link: &Link, mut receiver: Receiver<FromOwner, DuplexStream>) {
    while let Ok(Some(message)) = receiver.next_within(SILENCE_TIMEOUT).await {
        if let FromOwner::Reply(number, reply) = message {
            assert!(
                link.deliver_reply(number, reply).is_none(),
                "the call was cancelled"
            );
        }
    }
}

/// Guards against a call that times out while the configuration arrives slowly, and is repeated from the start, so that the
/// configuration never arrives.
#[tokio::test(start_paused = true)]
async fn a_configuration_on_a_slow_connection_is_fetched_once() {
    let (sender, receiver) = slow_connection(usize::MAX);
    let (to, calls) = mpsc::channel(16);
    let owner = tokio::spawn(answer_calls(calls, sender));
    let link = Link::new(to);
    let fetch = async {
        loop {
            if let Some(reply) = link.fetch(Call::Catalog).await {
                return reply;
            }
            sleep(Duration::from_millis(150)).await;
        }
    };
    let reply = tokio::select! {
        reply = fetch => reply,
        () = read_answers(&link, receiver) => panic!("the owner is silent"),
        () = sleep(Duration::from_secs(60)) => panic!("the configuration does not arrive"),
    };
    let Reply::Catalog(catalog) = reply else {
        panic!("not a configuration: {reply:?}");
    };
    assert_eq!(catalog.version, 7);
    drop(link);
    assert_eq!(owner.await.expect("the owner ran"), 1);
}

/// Guards against a fetch that goes on after its connection has ended, so that its host never asks again.
#[tokio::test(start_paused = true)]
async fn a_fetch_ends_with_its_connection() {
    let (to, calls) = mpsc::channel(16);
    let link = Link::new(to);
    let connection_lifetime = Duration::from_secs(5);
    let connection = async {
        sleep(connection_lifetime).await;
        drop(calls);
    };
    let began = Instant::now();
    let fetch = timeout(connection_lifetime * 2, link.fetch(Call::Catalog));
    let (reply, ()) = tokio::join!(fetch, connection);
    let reply = reply.expect("the fetch ends");
    assert!(reply.is_none());
    assert_eq!(began.elapsed().as_millis(), connection_lifetime.as_millis());
    assert!(link.fetch(Call::Catalog).await.is_none());
}

/// Guards against a call that waits for its whole timeout although its connection has ended and no reply can arrive.
#[tokio::test(start_paused = true)]
async fn a_call_ends_with_its_connection() {
    let (to, calls) = mpsc::channel(16);
    let link = Link::new(to);
    let connection_lifetime = Duration::from_millis(100);
    let connection = async {
        sleep(connection_lifetime).await;
        drop(calls);
    };
    let began = Instant::now();
    let call = link.call(Call::PoolMap, Duration::from_secs(5));
    let (reply, ()) = tokio::join!(call, connection);
    assert!(reply.is_none());
    assert_eq!(began.elapsed().as_millis(), connection_lifetime.as_millis());
}

/// Guards against hosts of different builds that don't understand each other's request to take over a pool.
#[test]
fn a_request_to_take_over_is_read_with_and_without_lease_bounds() {
    let earlier = r#"{"Take":{"epoch":4}}"#;
    let Ok(FromOwner::TakeOver { lease_bounds, .. }) = serde_json::from_str(earlier) else {
        panic!("a request of an earlier build is read");
    };
    assert_eq!(lease_bounds, vec![]);
    let bound = pool::LeaseBound {
        worker: "w1".into(),
        left: 2_400,
    };
    let request = FromOwner::TakeOver {
        epoch: 4,
        crashes: Vec::new(),
        lease_bounds: vec![bound.clone()],
    };
    let text = serde_json::to_string(&request).expect("it is encoded");
    let Ok(FromOwner::TakeOver { lease_bounds, .. }) = serde_json::from_str(&text) else {
        panic!("a request is read");
    };
    assert_eq!(lease_bounds, vec![bound]);
}
