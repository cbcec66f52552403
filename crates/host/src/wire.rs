//! Protocol between hosts: JSON frames over one TCP connection from each host to the owner of a pool.
//!
//! Both sides may send at any time, so a message costs one wake-up; a call over HTTP would cost four.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt as _};
use pool::{CrashHistory, CustomerId, Job, LeaseBound, Ms, State};
use rustc_hash::FxHashMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::access::Caller;
use crate::insert::JobLocation;
use crate::packed::Packed;
use crate::quota_policy::{QuotaGiven, QuotaNeeds};
use crate::timed_reader::TimedReader;
use crate::worker_feed::WorkerChanges;

/// Maximum size of a frame in bytes: the rows of one transaction, with some margin.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Message from a host to the owner of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToOwner {
    /// First message of a connection that stays open.
    Hello {
        /// Name of the host.
        host: String,
        /// Address for connections of other hosts.
        address: SocketAddr,
        /// The pool whose owner is addressed.
        pool: u32,
        /// The epoch that the owner has, as far as the host knows.
        epoch: u64,
        /// The host's share of a processor.
        processors: f64,
        /// Bandwidth of the host's network link, in Mbit/s.
        #[serde(rename = "line")]
        link_mbps: f64,
        /// Time of sending, on the host's clock.
        #[serde(default)]
        sent: Ms,
    },
    /// Sent periodically by every connected host.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Version of the configuration in force at the host.
        catalog: u64,
        /// Whether the store is available to the host.
        #[serde(rename = "served")]
        store_available: bool,
        /// Shortest round trip from the host to the store, in milliseconds.
        #[serde(rename = "away")]
        store_rtt: u64,
        /// Number of pools that the host owns.
        #[serde(rename = "owns")]
        owned_pools: u32,
        /// Time of sending, on the host's clock.
        #[serde(default)]
        sent: Ms,
        /// Time since the store last answered the host, in milliseconds; `None` if it never did.
        #[serde(default, rename = "answered")]
        store_answer_age: Option<Ms>,
        /// The host owns a pool and wants to be told changes of the table of workers.
        #[serde(default, rename = "follows")]
        follows_workers: bool,
    },
    /// The host has accepted a job: its row is written, with this pool and version.
    Accepted(Box<Job>, JobLocation),
    /// A call with its number, answered with [`FromOwner::Reply`].
    #[serde(rename = "Ask")]
    Call(u64, Call),
    /// Answer to [`FromOwner::Advise`] with its number: tickets by worker and their validity in milliseconds; `None` if the
    /// advisor didn't answer.
    Advised(u64, Option<(Vec<(String, String)>, u64)>),
    /// Asks any host whether it reaches the owner of this pool or is it; answered with [`FromOwner::OwnerReachable`].
    #[serde(rename = "Hears")]
    OwnerReachable(u32),
    /// The owner of another pool, on this host, needs units of customers' limits.
    QuotaNeeds(QuotaNeeds),
}

/// Call of a host to the owner of a pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// Returns the state of a job to a caller.
    State(String, Caller),
    /// Cancels a job for a caller.
    Cancel(String, Caller),
    /// Writes a job's row, for this pool, because the store is not available to the calling host.
    Insert(u32, Box<Job>),
    /// Returns the configuration in force at the owner.
    Catalog,
    /// Returns the version of the configuration in force at the owner, once the owner knows whether it was the newest when the
    /// call arrived.
    CatalogVersion,
    /// Returns the pool map in force at the owner.
    #[serde(rename = "Plan")]
    PoolMap,
    /// Tells what another pool, whose owner is the calling host, has given to this one; answered with [`Reply::QuotaTaken`].
    QuotaGiven(QuotaGiven),
}

impl Call {
    /// Name of its kind for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::State(..) => "state",
            Self::Cancel(..) => "cancel",
            Self::Insert(..) => "insert",
            Self::Catalog => "configuration",
            Self::CatalogVersion => "version of the configuration",
            Self::PoolMap => "plan",
            Self::QuotaGiven(_) => "units given",
        }
    }

    /// The id of the job that it is about, if it is about one.
    #[must_use]
    pub fn job(&self) -> Option<&str> {
        match self {
            Self::State(id, _) | Self::Cancel(id, _) => Some(id),
            Self::Insert(_, job) => Some(&job.id),
            Self::Catalog | Self::CatalogVersion | Self::PoolMap | Self::QuotaGiven(_) => None,
        }
    }
}

/// Owner's reply to a [`Call`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The job's state, as stored.
    State(State),
    /// The owner doesn't know the job.
    Unknown,
    /// The caller may not access the job.
    Inaccessible,
    /// The job is cancelled, and the cancellation is stored.
    Cancelled,
    /// The job's row exists, with this pool and version.
    Inserted(JobLocation),
    /// The id belongs to a job that the caller may not access.
    IdInUse,
    /// The job's row was not written and will not be.
    Refused,
    /// The owner doesn't know the outcome, or has no answer.
    Unsure,
    /// The configuration in force.
    Catalog(Packed),
    /// The version of the configuration in force.
    CatalogVersion {
        /// The version.
        version: u64,
        /// The transaction of the store up to which it is known to be the newest.
        as_of: u64,
        /// How long before the call arrived it was last known to be the newest, in milliseconds; 0 if it was at that time or
        /// later.
        age: Ms,
    },
    /// The pool map in force.
    #[serde(rename = "Plan")]
    PoolMap(Box<crate::PoolMap>),
    /// Units that the pool has ever taken from the calling one, as stored.
    QuotaTaken(Vec<(CustomerId, u64)>),
}

impl Reply {
    /// Name of its kind for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::State(_) => "state",
            Self::Unknown => "unknown",
            Self::Inaccessible => "inaccessible",
            Self::Cancelled => "cancelled",
            Self::Inserted(_) => "inserted",
            Self::IdInUse => "id in use",
            Self::Refused => "refused",
            Self::Unsure => "unsure",
            Self::Catalog(_) => "configuration",
            Self::CatalogVersion { .. } => "version of the configuration",
            Self::PoolMap(_) => "plan",
            Self::QuotaTaken(_) => "units taken",
        }
    }
}

/// Message from the owner of a pool to a host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromOwner {
    /// Sent periodically by the owner.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// The answering host is not, or no longer, the owner.
    NotOwner {
        /// Start time of the answering process in Unix milliseconds. If the owner's row names another one, that process has
        /// ended.
        #[serde(rename = "life")]
        incarnation: u64,
    },
    /// Reply to the [`ToOwner::Call`] with this number.
    #[serde(rename = "Told")]
    Reply(u64, Reply),
    /// Requests that the host queries the advisor about a step, for the owner.
    Advise {
        /// Number of the request.
        number: u64,
        /// The step: job, occurrence, step.
        stage: (String, u32, u16),
        /// The workers to ask about.
        workers: Vec<String>,
        /// Expected duration of the query, in milliseconds.
        takes: u64,
    },
    /// Requests that the host takes the pool over: the owner is leaving, has lost the store, or is less suitable.
    #[serde(rename = "Take")]
    TakeOver {
        /// The owner's epoch.
        epoch: u64,
        /// Crashes of workers that the owner has recorded and not stored.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        crashes: Vec<CrashHistory>,
        /// How long to wait for workers that don't answer the owner, which has given them up.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        lease_bounds: Vec<LeaseBound>,
    },
    /// Whether the answering host reaches the owner, or is it.
    #[serde(rename = "Hears")]
    OwnerReachable(bool),
    /// Changes of the table of workers, for a host whose heartbeats ask for them.
    #[serde(rename = "Workers")]
    WorkerChanges(WorkerChanges),
}

/// State that the owner of a pool sends to all connected hosts periodically.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The pool.
    pub pool: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// Version of the configuration in force at the owner.
    pub catalog: u64,
    /// The transaction of the store up to which that version is known to be the newest.
    #[serde(default)]
    pub catalog_as_of: u64,
    /// Time since that version was last known to be the newest.
    #[serde(default)]
    pub catalog_age: Ms,
    /// Time at which the receiving host sent the last heartbeat that the owner has received, on that host's clock; 0 if there
    /// was none.
    #[serde(default, rename = "heard")]
    pub echoed_at: Ms,
    /// Whether the store is available to the owner.
    #[serde(rename = "served")]
    pub store_available: bool,
    /// Whether the owner's last call to the store failed.
    #[serde(default, rename = "failing")]
    pub store_failing: bool,
    /// Version of the pool map in force at the owner.
    #[serde(rename = "plan")]
    pub pool_map: u64,
    /// Number of jobs of which nothing has started, by queue; `None` until the owner has loaded the jobs.
    pub pending: Option<FxHashMap<String, u64>>,
    /// Customers whose backlog is full, with the time in milliseconds after which more of their jobs can be accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub full_backlogs: Vec<(CustomerId, Ms)>,
    /// Running and waiting work, as a share of the pool's capacity.
    #[serde(rename = "taken")]
    pub load: f64,
    /// Labels of the pool's workers.
    pub labels: Vec<String>,
    /// Number of hosts that are connected to the owner, and the owner's own.
    #[serde(default)]
    pub hosts: u32,
}

impl Heartbeat {
    /// Latest time at which a configuration of this version is certain to have been the newest, on the receiving host's clock;
    /// `None` if the heartbeat doesn't confirm it.
    ///
    /// A heartbeat may have been in transit for long. Its content was true once the owner had received the host's own heartbeat
    /// that it echoes, so the time of sending that one is a safe lower bound.
    #[must_use]
    pub fn confirmed_at(&self, version: u64) -> Option<Ms> {
        let same = version > 0 && self.catalog == version;
        (same && self.echoed_at > 0).then(|| self.echoed_at.saturating_sub(self.catalog_age))
    }
}

/// A message between hosts.
pub trait Message: Serialize {
    /// Name of its kind, for metrics.
    fn kind(&self) -> &'static str;
}

impl Message for ToOwner {
    fn kind(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Heartbeat { .. } => "heartbeat_to_owner",
            Self::Accepted(..) => "accepted",
            Self::Call(..) => "call",
            Self::Advised(..) => "advised",
            Self::OwnerReachable(_) => "owner_reachable",
            Self::QuotaNeeds(_) => "quota_needs",
        }
    }
}

impl Message for FromOwner {
    fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat_from_owner",
            Self::NotOwner { .. } => "not_owner",
            Self::Reply(..) => "reply",
            Self::Advise { .. } => "advise",
            Self::TakeOver { .. } => "take_over",
            Self::OwnerReachable(_) => "owner_reachable_reply",
            Self::WorkerChanges(_) => "worker_changes",
        }
    }
}

/// Sends messages as frames.
pub struct Sender<T, W = OwnedWriteHalf> {
    frames: FramedWrite<W, LengthDelimitedCodec>,
    message: std::marker::PhantomData<fn(T)>,
}

impl<T: Message, W: AsyncWrite + Unpin> Sender<T, W> {
    /// Creates a sender on the write half of a connection.
    #[must_use]
    pub fn new(half: W) -> Self {
        Self {
            frames: FramedWrite::new(half, codec()),
            message: std::marker::PhantomData,
        }
    }

    /// Buffers a message until the next [`Sender::flush`].
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn feed(&mut self, message: &T) -> std::io::Result<()> {
        let bytes = serde_json::to_vec(message)?;
        metrics::counter!("lentilyoke_frames_total", "kind" => message.kind()).increment(1);
        metrics::counter!("lentilyoke_frame_bytes_total", "kind" => message.kind())
            .increment(bytes.len() as u64);
        self.frames.feed(Bytes::from(bytes)).await
    }

    /// Sends the buffered messages.
    ///
    /// # Errors
    /// If the connection is broken.
    pub async fn flush(&mut self) -> std::io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.frames).await
    }
}

/// Receives messages as frames.
pub struct Receiver<T, R = OwnedReadHalf> {
    frames: FramedRead<TimedReader<R>, LengthDelimitedCodec>,
    message: std::marker::PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned, R: AsyncRead + Unpin> Receiver<T, R> {
    /// Creates a receiver on the read half of a connection.
    #[must_use]
    pub fn new(half: R) -> Self {
        Self {
            frames: FramedRead::new(TimedReader::new(half), codec()),
            message: std::marker::PhantomData,
        }
    }

    /// The next message; `None` if the connection was closed.
    ///
    /// # Errors
    /// If the connection is broken or the frame can't be parsed.
    pub async fn next(&mut self) -> std::io::Result<Option<T>> {
        match self.frames.next().await {
            None => Ok(None),
            Some(frame) => Ok(Some(serde_json::from_slice(&frame?)?)),
        }
    }

    /// The next message from a sender that is never silent for longer than `silence`; `None` if the connection was closed. Each
    /// byte that arrives restarts the timeout, so a large frame may take longer. Dropping the future loses no part of a frame.
    ///
    /// # Errors
    /// Of the kind `TimedOut` if the sender was silent for too long; otherwise as [`Receiver::next`].
    pub async fn next_within(&mut self, silence: Duration) -> std::io::Result<Option<T>> {
        let mut since = Instant::now();
        loop {
            if let Ok(next) = timeout_at(since + silence, self.next()).await {
                return next;
            }
            let last_read = self.frames.get_ref().last_read();
            if last_read <= since {
                return Err(ErrorKind::TimedOut.into());
            }
            since = last_read;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
