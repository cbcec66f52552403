//! Links between hosts over lines that carry a frame slowly.

use std::io::ErrorKind;
use std::time::Duration;

use host::link::Link;
use host::packed::Packed;
use host::wire::{Call, FromOwner, Heartbeat, Receiver, Reply, Sender, ToOwner};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Longest time without a byte.
const SILENCE: Duration = Duration::from_millis(900);
/// Time between two pieces on a thin line.
const PIECE_EVERY: Duration = Duration::from_millis(100);
/// Bytes in one piece: 10 Mbit/s.
const PIECE_BYTES: usize = 125_000;
/// Room for what is sent before the line has carried it.
const BUFFER: usize = 8 << 20;

fn beat(labels: usize) -> FromOwner {
    FromOwner::Heartbeat(Heartbeat {
        labels: vec!["a label that makes the frame long".to_owned(); labels],
        ..Heartbeat::default()
    })
}

/// A frame of 3 MB, which takes 2.4 s on a thin line.
fn large() -> FromOwner {
    beat(3_000_000 / 36)
}

fn labels(message: Option<FromOwner>) -> usize {
    match message {
        Some(FromOwner::Heartbeat(beat)) => beat.labels.len(),
        other => panic!("not a beat: {other:?}"),
    }
}

/// A line that carries `pieces` pieces and then nothing more, without being closed.
fn line(
    pieces: usize,
) -> (
    Sender<FromOwner, DuplexStream>,
    Receiver<FromOwner, DuplexStream>,
) {
    let (sender, mut from) = duplex(BUFFER);
    let (mut to, receiver) = duplex(BUFFER);
    tokio::spawn(async move {
        let mut piece = vec![0; PIECE_BYTES];
        for _ in 0..pieces {
            sleep(PIECE_EVERY).await;
            let bytes = from.read(&mut piece).await.expect("the sender is there");
            to.write_all(&piece[..bytes])
                .await
                .expect("the receiver is there");
        }
        std::future::pending::<()>().await;
    });
    (Sender::new(sender), Receiver::new(receiver))
}

async fn send(sender: &mut Sender<FromOwner, DuplexStream>, message: &FromOwner) {
    sender.feed(message).await.expect("sent");
    sender.flush().await.expect("sent");
}

/// A sender is taken for silent while a frame of its arrives for longer than the limit.
#[tokio::test(start_paused = true)]
async fn a_sender_is_not_silent_while_its_frame_arrives() {
    let (mut sender, mut receiver) = line(usize::MAX);
    send(&mut sender, &large()).await;
    send(&mut sender, &beat(1)).await;
    let began = Instant::now();
    let first = receiver.next_within(SILENCE).await;
    assert_eq!(labels(first.expect("the bytes arrive")), 3_000_000 / 36);
    assert!(began.elapsed() > SILENCE * 2, "the frame took long");
    let second = receiver.next_within(SILENCE).await;
    assert_eq!(labels(second.expect("the bytes arrive")), 1);
}

/// A sender that says nothing is not found out.
#[tokio::test(start_paused = true)]
async fn a_sender_without_bytes_is_silent_after_the_limit() {
    let (_sender, mut receiver) = line(usize::MAX);
    let began = Instant::now();
    let error = receiver.next_within(SILENCE).await.expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    assert_eq!(began.elapsed().as_millis(), SILENCE.as_millis());
}

/// A sender that stops in the middle of a frame is found out late, or never.
#[tokio::test(start_paused = true)]
async fn a_sender_that_stops_within_a_frame_is_silent_after_the_limit() {
    let pieces = 12;
    let (mut sender, mut receiver) = line(pieces);
    send(&mut sender, &large()).await;
    let began = Instant::now();
    let error = receiver.next_within(SILENCE).await.expect_err("silent");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    let all = PIECE_EVERY * pieces as u32 + SILENCE;
    assert_eq!(began.elapsed().as_millis(), all.as_millis());
}

/// What has arrived of a frame is lost when its receiver turns to something else meanwhile.
#[tokio::test(start_paused = true)]
async fn a_frame_that_is_awaited_in_several_tries_is_whole() {
    let (mut sender, mut receiver) = line(usize::MAX);
    send(&mut sender, &large()).await;
    let mut tries = 0;
    let message = loop {
        tries += 1;
        let next = receiver.next_within(SILENCE);
        if let Ok(message) = timeout(Duration::from_millis(330), next).await {
            break message;
        }
    };
    assert_eq!(labels(message.expect("the bytes arrive")), 3_000_000 / 36);
    assert!(tries > 5, "the frame came at once");
}

/// A configuration of 3 MB.
fn catalog() -> Packed {
    Packed {
        version: 7,
        text: "x".repeat(3_000_000),
    }
}

/// An owner that answers each call with the configuration; tells how often it was asked.
async fn answer_calls(
    mut calls: mpsc::Receiver<ToOwner>,
    mut sender: Sender<FromOwner, DuplexStream>,
) -> u32 {
    let mut asked = 0;
    while let Some(ToOwner::Call(number, Call::Catalog)) = calls.recv().await {
        asked += 1;
        let reply = Reply::Catalog(catalog());
        send(&mut sender, &FromOwner::Reply(number, reply)).await;
    }
    asked
}

/// Passes answers to the link.
async fn read_answers(link: &Link, mut receiver: Receiver<FromOwner, DuplexStream>) {
    while let Ok(Some(message)) = receiver.next_within(SILENCE).await {
        if let FromOwner::Reply(number, reply) = message {
            assert!(
                link.deliver_reply(number, reply).is_none(),
                "the call was given up"
            );
        }
    }
}

/// A configuration that arrives slowly is given up and asked for again from its start, so that it never comes.
#[tokio::test(start_paused = true)]
async fn a_configuration_on_a_thin_line_is_fetched_once() {
    let (sender, receiver) = line(usize::MAX);
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
        () = sleep(Duration::from_secs(60)) => panic!("the configuration doesn't come"),
    };
    let Reply::Catalog(catalog) = reply else {
        panic!("not a configuration: {reply:?}");
    };
    assert_eq!(catalog.version, 7);
    drop(link);
    assert_eq!(owner.await.expect("the owner ran"), 1);
}

/// A fetch goes on after the connection has ended, and its host never asks again.
#[tokio::test(start_paused = true)]
async fn a_fetch_ends_with_its_connection() {
    let (to, calls) = mpsc::channel(16);
    let link = Link::new(to);
    let lasts = Duration::from_secs(5);
    let connection = async {
        sleep(lasts).await;
        drop(calls);
    };
    let began = Instant::now();
    let fetch = timeout(lasts * 2, link.fetch(Call::Catalog));
    let (reply, ()) = tokio::join!(fetch, connection);
    let reply = reply.expect("the fetch ends");
    assert!(reply.is_none());
    assert_eq!(began.elapsed().as_millis(), lasts.as_millis());
    assert!(link.fetch(Call::Catalog).await.is_none());
}
