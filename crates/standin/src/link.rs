//! A TCP relay that adds latency and counts bytes, as a fake of a link between regions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Bytes that a link has carried in each direction.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    /// Bytes from the connecting side to the target.
    pub outbound: AtomicU64,
    /// Bytes from the target to the connecting side.
    pub inbound: AtomicU64,
}

/// Relays connections to `to` and delivers each byte after `delay`; returns only if accepting a
/// connection fails.
pub async fn link(listener: TcpListener, to: String, delay: Duration, traffic: Arc<LinkTraffic>) {
    while let Ok((client, _)) = listener.accept().await {
        let (to, traffic) = (to.clone(), Arc::clone(&traffic));
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(&to).await {
                relay(client, server, delay, &traffic).await;
            }
        });
    }
}

async fn relay(client: TcpStream, server: TcpStream, delay: Duration, traffic: &LinkTraffic) {
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let outbound = relay_one_way(client_read, server_write, delay, &traffic.outbound);
    let inbound = relay_one_way(server_read, client_write, delay, &traffic.inbound);
    tokio::join!(outbound, inbound);
}

/// Relays one direction. Reading and writing run concurrently: data that is read while earlier data
/// waits is delayed from its own time of arrival, so the delays don't add up.
async fn relay_one_way(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    delay: Duration,
    count: &AtomicU64,
) {
    const MAX_QUEUED_CHUNKS: usize = 1_024;
    const CHUNK_BYTES: usize = 16 * 1_024;
    let (queue, mut delayed) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            match from.read(&mut chunk).await {
                Ok(n) if n > 0 => {
                    chunk.truncate(n);
                    count.fetch_add(n as u64, Ordering::Relaxed);
                    if queue.send((Instant::now() + delay, chunk)).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let write = async move {
        while let Some((deliver_at, chunk)) = delayed.recv().await {
            sleep_until(deliver_at).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        drop(to.shutdown().await);
    };
    tokio::join!(read, write);
}
