//! Graceful shutdown that waits for every task.

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Signals every task of a program to end, and waits until all have ended.
///
/// Shutdown has two phases: while draining ([`Shutdown::draining`]), no new work is accepted and work in
/// progress is finished; then all tasks end ([`Shutdown::ended`]).
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    drain: CancellationToken,
    end: CancellationToken,
    tasks: TaskTracker,
}

impl Shutdown {
    /// Spawns a task that [`Shutdown::join`] waits for.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        drop(self.tasks.spawn(task));
    }

    /// Starts draining when the process receives SIGTERM or SIGINT.
    pub fn drain_on_signal(&self) {
        let shutdown = self.clone();
        self.spawn(async move {
            let (Ok(mut term), Ok(mut int)) = (
                signal(SignalKind::terminate()),
                signal(SignalKind::interrupt()),
            ) else {
                return;
            };
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
                () = shutdown.end.cancelled() => {}
            }
            shutdown.drain.cancel();
        });
    }

    /// Calls `reload` whenever the process receives SIGHUP, which would otherwise terminate the process.
    pub fn on_hangup(&self, reload: impl Fn() + Send + 'static) {
        let shutdown = self.clone();
        self.spawn(async move {
            let Ok(mut hangup) = signal(SignalKind::hangup()) else {
                return;
            };
            loop {
                tokio::select! {
                    Some(()) = hangup.recv() => reload(),
                    () = shutdown.end.cancelled() => return,
                }
            }
        });
    }

    /// Starts draining.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Whether draining has started, so that no new work may be accepted.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Waits until draining starts.
    pub async fn draining(&self) {
        self.drain.cancelled().await;
    }

    /// Whether all tasks have to end.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.end.is_cancelled()
    }

    /// Waits until all tasks have to end.
    pub async fn ended(&self) {
        self.end.cancelled().await;
    }

    /// Sleeps for `time`; `false` if all tasks have to end before that.
    pub async fn sleep(&self, time: std::time::Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            () = self.end.cancelled() => false,
        }
    }

    /// Signals all tasks to end and waits for them.
    pub async fn join(&self) {
        self.drain.cancel();
        self.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
