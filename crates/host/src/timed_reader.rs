//! A reader that remembers when bytes came last.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Instant;

/// Reads from another reader and remembers when that gave bytes last.
pub(crate) struct TimedReader<R> {
    inner: R,
    last_read: Instant,
}

impl<R> TimedReader<R> {
    /// Reads from this one.
    pub(crate) fn new(inner: R) -> Self {
        Self {
            inner,
            last_read: Instant::now(),
        }
    }

    /// When bytes came last; if none did, when this was made.
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
