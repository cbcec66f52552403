//! A reader that records the time of the last received byte.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

/// Wraps a reader and records when it last returned bytes.
pub(crate) struct TimedReader<R> {
    inner: R,
    last_read: Instant,
}

impl<R> TimedReader<R> {
    pub(crate) fn new(inner: R) -> Self {
        Self {
            inner,
            last_read: Instant::now(),
        }
    }

    /// Time at which the inner reader last returned bytes; until it does, the time of creation.
    pub(crate) fn last_read(&self) -> Instant {
        self.last_read
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for TimedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.last_read = Instant::now();
        }
        poll
    }
}
