//! What hosts say to each other: frames of JSON over one TCP connection from each host to the owner.
//!
//! One connection that both sides write to as they like needs one wake-up a message; a call over HTTP needs four.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt as _};
use pool::{Job, Ms, State};
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::insert::Place;
use crate::packed::Packed;
use crate::timed_reader::TimedReader;

/// Longest frame in bytes: the rows of one transaction and some more.
const FRAME_MOST: usize = 4 << 20;

/// What a host says to the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToOwner {
    /// It is here.
    Hello {
        /// Its name.
        host: String,
        /// Where other hosts reach it.
        address: SocketAddr,
        /// The pool.
        pool: u32,
        /// The epoch that it takes the owner to have.
        epoch: u64,
        /// Its share of a processor.
        processors: f64,
        /// Its line, in Mbit/s.
        line: f64,
    },
    /// It is alive.
    Beat {
        /// Version of the configuration in force there.
        catalog: u64,
        /// The store serves it.
        served: bool,
        /// Round trip to the store in milliseconds.
        away: u64,
        /// How many pools it owns.
        owns: u32,
        /// When this was sent, on its clock.
        #[serde(default)]
        sent: Ms,
        /// How long ago the store answered it last, in milliseconds; `None` if it never did.
        #[serde(default)]
        answered: Option<Ms>,
    },
    /// It has accepted a job: the row is written, and says this.
    Accepted(Box<Job>, Place),
    /// It wants something.
    Ask(u64, Call),
    /// Answer to [`FromOwner::Advise`].
    Advised(u64, Option<(Vec<(String, String)>, u64)>),
    /// Whether the owner of this pool is alive, asked of any host: answered with [`FromOwner::Hears`].
    Hears(u32),
}

/// What a host wants from the owner.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// State of a job.
    State(String),
    /// Cancel a job.
    Cancel(String),
    /// Write a job's row, for this pool, since the store doesn't serve the asker.
    Insert(u32, Box<Job>),
    /// The configuration in force there.
    Catalog,
    /// Which workers belong to which pool, as known there.
    Plan,
}

/// What the owner says to a call.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The job's state, as it is stored.
    State(State),
    /// The job isn't known here.
    Unknown,
    /// The job is cancelled, and that is stored.
    Cancelled,
    /// The row is written, and says this.
    Inserted(Place),
    /// The row is certainly not written, and won't be.
    Refused,
    /// It can't be told.
    Unsure,
    /// The configuration in force.
    Catalog(Packed),
    /// Which workers belong to which pool.
    Plan(Box<crate::Plan>),
}

impl Reply {
    /// Its kind, for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
            Self::Inserted(_) => "inserted",
            Self::Refused => "refused",
            Self::Unsure => "unsure",
            Self::Catalog(_) => "configuration",
            Self::Plan(_) => "plan",
        }
    }
}

/// What the owner says to a host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromOwner {
    /// It is the owner.
    Beat(Beat),
    /// It is not the owner (any more).
    NotOwner {
        /// Start of the answering host's life in Unix milliseconds: an owner's row that names another one is of a life that
        /// is over.
        life: u64,
    },
    /// Answer to [`ToOwner::Ask`].
    Told(u64, Reply),
    /// Ask the advisor about a step.
    Advise {
        /// Number of the question.
        number: u64,
        /// The step: job, occurrence, step.
        stage: (String, u32, u16),
        /// The workers.
        workers: Vec<String>,
        /// Time that it will take, in milliseconds.
        takes: u64,
    },
    /// Take the pool over: the owner leaves, or the store doesn't serve it.
    Take {
        /// The owner's epoch.
        epoch: u64,
    },
    /// Whether this host hears the owner.
    Hears(bool),
}

/// What all hosts have to know now.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Beat {
    /// The pool.
    pub pool: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// Version of the configuration in force there.
    pub catalog: u64,
    /// The transaction of the store up to which that version is known to be the newest.
    #[serde(default)]
    pub catalog_as_of: u64,
    /// Time since that version was known to be the newest there.
    #[serde(default)]
    pub catalog_age: Ms,
    /// When the host that is told this sent the last beat that the owner has heard, on that host's clock; 0 if none.
    #[serde(default)]
    pub heard: Ms,
    /// The store serves the owner.
    pub served: bool,
    /// The owner's last call to the store failed.
    #[serde(default)]
    pub failing: bool,
    /// Version of the plan of pools known there.
    pub plan: u64,
    /// Jobs of which nothing has started, per queue; `None` while the owner doesn't know the jobs yet.
    pub pending: Option<FxHashMap<String, u64>>,
    /// Work that runs and waits, as a share of the pool's room.
    pub taken: f64,
    /// Labels of the pool's workers.
    pub labels: Vec<String>,
}

impl Beat {
    /// When a configuration of this version was surely the newest, on the clock of the host that is told this; `None` if
    /// the beat doesn't say so.
    ///
    /// A beat may have been on its way for long. What it says was so when the owner had heard the beat that it names.
    #[must_use]
    pub fn confirms(&self, version: u64) -> Option<Ms> {
        let same = version > 0 && self.catalog == version;
        (same && self.heard > 0).then(|| self.heard.saturating_sub(self.catalog_age))
    }
}

/// Sends frames.
pub struct Sender<T, W = OwnedWriteHalf> {
    to: FramedWrite<W, LengthDelimitedCodec>,
    kind: std::marker::PhantomData<fn(T)>,
}

impl<T: Serialize, W: AsyncWrite + Unpin> Sender<T, W> {
    /// Over this half of a connection.
    #[must_use]
    pub fn new(half: W) -> Self {
        Self {
            to: FramedWrite::new(half, codec()),
            kind: std::marker::PhantomData,
        }
    }

    /// Adds a frame to what is sent with the next [`Sender::flush`].
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn feed(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = serde_json::to_vec(message)?;
        self.to.feed(Bytes::from(bytes)).await
    }

    /// Sends what was added.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn flush(&mut self) -> std::io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.to).await
    }
}

/// Receives frames.
pub struct Receiver<T, R = OwnedReadHalf> {
    from: FramedRead<TimedReader<R>, LengthDelimitedCodec>,
    kind: std::marker::PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned, R: AsyncRead + Unpin> Receiver<T, R> {
    /// From this half of a connection.
    #[must_use]
    pub fn new(half: R) -> Self {
        Self {
            from: FramedRead::new(TimedReader::new(half), codec()),
            kind: std::marker::PhantomData,
        }
    }

    /// The next frame; `None` at the end.
    ///
    /// # Errors
    /// If the connection is broken or the frame can't be read.
    pub async fn next(&mut self) -> std::io::Result<Option<T>> {
        match self.from.next().await {
            None => Ok(None),
            Some(frame) => Ok(Some(serde_json::from_slice(&frame?)?)),
        }
    }

    /// The next frame from a sender that is never silent for longer than `silence`; `None` at the end. Each byte that
    /// arrives starts the time anew, so a frame may take longer. A call that is dropped loses nothing of a frame.
    ///
    /// # Errors
    /// Of the kind `TimedOut` if the sender is silent; otherwise as [`Receiver::next`].
    pub async fn next_within(&mut self, silence: Duration) -> std::io::Result<Option<T>> {
        let mut since = Instant::now();
        loop {
            if let Ok(next) = timeout_at(since + silence, self.next()).await {
                return next;
            }
            let last_read = self.from.get_ref().last_read();
            if last_read <= since {
                return Err(ErrorKind::TimedOut.into());
            }
            since = last_read;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MOST)
        .new_codec()
}
