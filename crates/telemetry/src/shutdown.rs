//! Graceful shutdown in phases, which waits for every task.

use std::future::Future;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How far the shutdown of a program has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No shutdown was requested.
    Running,
    /// No new work should be sent here; what is sent nevertheless is done.
    Draining,
    /// No connections are accepted, and those of clients end after the call in progress. All else goes on, since these calls
    /// depend on it.
    Closing,
    /// All tasks end.
    Ended,
}

impl Phase {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Draining => "draining",
            Self::Closing => "closing",
            Self::Ended => "ended",
        }
    }
}

/// Signals every task of a program to end, and waits until all have ended.
///
/// The phases follow one another as [`Phase`] lists them. [`Shutdown::join`] goes through those that are left.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use telemetry::{Phase, Shutdown};
///
/// let shutdown = Shutdown::default();
/// let stop = shutdown.clone();
/// shutdown.spawn_connection(async move {
///     stop.closing().await;
///     assert_eq!(stop.phase(), Phase::Closing, "tasks go on until connections have ended");
/// });
/// shutdown.join().await;
/// assert_eq!(shutdown.phase(), Phase::Ended);
/// # });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    drain: CancellationToken,
    close: CancellationToken,
    /// When connections of clients were asked to end.
    closed_at: Arc<OnceLock<Instant>>,
    end: CancellationToken,
    connections: TaskTracker,
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

    /// Spawns a task that is dropped where it waits when all tasks have to end: what it waits for may take long, and nothing has to be
    /// completed.
    pub fn spawn_until_end<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let shutdown = self.clone();
        self.spawn(async move {
            tokio::select! {
                () = task => {}
                () = shutdown.ended() => {}
            }
        });
    }

    /// Spawns a task that serves a connection of a client, or accepts such connections. It has to end by itself soon after
    /// [`Shutdown::closing`]; all other tasks go on until it has.
    pub fn spawn_connection<F>(&self, task: F)
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        drop(self.connections.spawn(task));
    }

    /// Starts draining when the process receives SIGTERM or SIGINT. Has to be called within a runtime, before clients can connect:
    /// until then these signals end the process at once.
    ///
    /// # Errors
    /// If the signals can't be handled.
    pub fn drain_on_signal(&self) -> std::io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let shutdown = self.clone();
        self.spawn(async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
                () = shutdown.end.cancelled() => {}
            }
            shutdown.drain.cancel();
        });
        Ok(())
    }

    /// Calls `reload` whenever the process receives SIGHUP. Has to be called within a runtime, before clients can connect: until
    /// then the signal ends the process.
    ///
    /// # Errors
    /// If the signal can't be handled.
    pub fn on_hangup(&self, reload: impl Fn() + Send + 'static) -> std::io::Result<()> {
        let mut hangup = signal(SignalKind::hangup())?;
        let shutdown = self.clone();
        self.spawn(async move {
            loop {
                tokio::select! {
                    Some(()) = hangup.recv() => reload(),
                    () = shutdown.end.cancelled() => return,
                }
            }
        });
        Ok(())
    }

    /// The present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.end.is_cancelled() {
            Phase::Ended
        } else if self.close.is_cancelled() {
            Phase::Closing
        } else if self.drain.is_cancelled() {
            Phase::Draining
        } else {
            Phase::Running
        }
    }

    /// Starts draining.
    pub fn drain(&self) {
        self.drain.cancel();
    }

    /// Whether draining has started, so that no new work should be sent here.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain.is_cancelled()
    }

    /// Waits until draining starts.
    pub async fn draining(&self) {
        self.drain.cancelled().await;
    }

    /// Waits until connections of clients have to end after the call in progress.
    pub async fn closing(&self) {
        self.close.cancelled().await;
    }

    /// Waits until connections of clients have had this much time to end, whenever the wait began.
    pub async fn closing_for(&self, time: Duration) {
        self.close.cancelled().await;
        let closed_at = *self.closed_at.get_or_init(Instant::now);
        tokio::time::sleep_until(closed_at + time).await;
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
    pub async fn sleep(&self, time: Duration) -> bool {
        tokio::select! {
            () = tokio::time::sleep(time) => true,
            () = self.end.cancelled() => false,
        }
    }

    /// Closes the connections of clients and waits until they have ended. All other tasks go on.
    pub async fn close(&self) {
        self.drain.cancel();
        self.closed_at.get_or_init(Instant::now);
        self.close.cancel();
        self.connections.close();
        self.connections.wait().await;
    }

    /// Closes the connections of clients, then signals all tasks to end and waits for them.
    pub async fn join(&self) {
        self.close().await;
        self.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
