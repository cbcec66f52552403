//! A link between regions: passes bytes on late, and counts them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Bytes that a link has carried, to the far side and back.
#[derive(Debug, Default)]
pub struct Carried {
    /// From whoever connects.
    pub there: AtomicU64,
    /// To whoever connects.
    pub back: AtomicU64,
}

/// Passes connections on to `to`, each byte `delay` late; never returns unless listening fails.
pub async fn link(listener: TcpListener, to: String, delay: Duration, carried: Arc<Carried>) {
    while let Ok((near, _)) = listener.accept().await {
        let (to, carried) = (to.clone(), Arc::clone(&carried));
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(&to).await {
                pass(near, far, delay, &carried).await;
            }
        });
    }
}

async fn pass(near: TcpStream, far: TcpStream, delay: Duration, carried: &Carried) {
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = one_way(near_in, far_out, delay, &carried.there);
    let back = one_way(far_in, near_out, delay, &carried.back);
    tokio::join!(there, back);
}

/// Reading and writing are apart, so that what is read while something waits is not held up more.
async fn one_way(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    delay: Duration,
    count: &AtomicU64,
) {
    const CHUNKS: usize = 1_024;
    const CHUNK: usize = 16 * 1_024;
    let (queue, mut late) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK];
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
        while let Some((due, chunk)) = late.recv().await {
            sleep_until(due).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        drop(to.shutdown().await);
    };
    tokio::join!(read, write);
}
