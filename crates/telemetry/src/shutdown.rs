//! A stop that joins everything that was started.

use std::future::Future;

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Tells every task of a program to end, and waits until they have.
///
/// Stopping has two steps: first nothing new is taken while what is in hand is finished
/// ([`Stop::draining`]), then everything ends ([`Stop::ended`]).
#[derive(Clone, Debug, Default)]
pub struct Stop {
    drain: CancellationToken,
    end: CancellationToken,
    tasks: TaskTracker,
}

impl Stop {
    /// Starts a task that is joined in the end.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        drop(self.tasks.spawn(task));
    }

    /// Begins to drain when the process gets SIGTERM or SIGINT.
    pub fn on_signal(&self) {
        let stop = self.clone();
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
                () = stop.end.cancelled() => {}
            }
            stop.drain.cancel();
        });
    }

    /// Calls `reload` whenever the process gets SIGHUP. Without this the signal would end the process.
    pub fn on_hangup(&self, reload: impl Fn() + Send + 'static) {
        let stop = self.clone();
        self.spawn(async move {
            let Ok(mut hangup) = signal(SignalKind::hangup()) else {
                return;
            };
            loop {
                tokio::select! {
                    Some(()) = hangup.recv() => reload(),
                    () = stop.end.cancelled() => return,
                }
            }
        });
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Whether nothing new is to be taken.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Waits until draining begins.
    pub async fn draining(&self) {
        self.drain.cancelled().await;
    }

    /// Whether everything is to end.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.end.is_cancelled()
    }

    /// Waits until everything is to end.
    pub async fn ended(&self) {
        self.end.cancelled().await;
    }

    /// Waits for this long; `false` if everything is to end before that.
    pub async fn sleep(&self, time: std::time::Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            () = self.end.cancelled() => false,
        }
    }

    /// Ends everything and waits for all tasks.
    pub async fn join(&self) {
        self.drain.cancel();
        self.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
