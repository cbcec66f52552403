//! Connections between hosts.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::host::Host;
use crate::link::Link;
use crate::owner::Owner;
use crate::verdict::WitnessAnswer;
use crate::wire::{Call, FromOwner, Receiver, Reply, Sender, ToOwner};

/// Time between two beats. A shorter one finds a lost owner sooner and costs each host a wake-up more.
pub(crate) const BEAT: Duration = Duration::from_millis(250);
/// An owner from which no byte has come for this long is taken as lost: three beats, and some for the way between regions.
pub(crate) const SILENCE: Duration = Duration::from_millis(900);
/// Time in which a connection has to be made; the way between regions takes 40 ms there and back.
const CONNECT: Duration = Duration::from_millis(400);
/// Frames that wait to be written to one host; more means that it doesn't read.
const QUEUE: usize = 4_096;

/// Why a link to the owner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkEnd {
    /// There is none any more.
    Lost(Loss),
    /// That host is not the owner.
    NotOwner {
        /// Start of its life in Unix milliseconds.
        life: u64,
    },
    /// It wants this host to take the pool over.
    Take,
    /// This host is stopped.
    Stopped,
}

/// How a link to the owner was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// No connection was made in time.
    NotReached,
    /// The owner's machine refused the connection: the process has ended.
    Refused,
    /// Nothing came for [`SILENCE`].
    Silent,
    /// The connection broke off, or this host could not write to it.
    Broken,
}

/// Writes what comes through a channel, several frames at a time.
async fn write<T: Serialize>(mut sender: Sender<T>, mut from: mpsc::Receiver<T>) {
    while let Some(message) = from.recv().await {
        if sender.feed(&message).await.is_err() {
            return;
        }
        while let Ok(message) = from.try_recv() {
            if sender.feed(&message).await.is_err() {
                return;
            }
        }
        if sender.flush().await.is_err() {
            return;
        }
    }
}

async fn connect(address: SocketAddr, time: Duration) -> Result<TcpStream, Loss> {
    let connected = timeout(time, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Loss::NotReached)?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => Loss::Refused,
            _ => Loss::NotReached,
        })?;
    stream.set_nodelay(true).map_err(|_| Loss::Broken)?;
    Ok(stream)
}

/// Keeps a link to the owner until it ends.
pub(crate) async fn join(host: &Arc<Host>, pool: u32, address: SocketAddr, epoch: u64) -> LinkEnd {
    let stream = match connect(address, CONNECT).await {
        Ok(stream) => stream,
        Err(loss) => return LinkEnd::Lost(loss),
    };
    let (read, half) = stream.into_split();
    let mut receiver = Receiver::<FromOwner>::new(read);
    let (to, from) = mpsc::channel(QUEUE);
    let link = Arc::new(Link::new(to));
    link.send(ToOwner::Hello {
        host: host.settings.id.clone(),
        address: host.settings.address,
        pool,
        epoch,
        processors: host.settings.processors,
        link_mbps: host.settings.link_mbps,
    });
    let beats = async {
        loop {
            let catalog = host.catalog_version();
            let beat = ToOwner::Heartbeat {
                catalog,
                store_available: host.store_available(),
                store_rtt: host.store_rtt(),
                owned_pools: host.owned_pool_count(),
                sent: clock::now(),
                store_answer_age: host.store_answer_age(),
            };
            if !link.send(beat) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(BEAT) => {}
                () = host.probe_finished.notified() => {}
            }
        }
    };
    let reads = async {
        loop {
            let message = match receiver.next_within(SILENCE).await {
                Ok(Some(message)) => message,
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    return LinkEnd::Lost(Loss::Silent);
                }
                Ok(None) | Err(_) => return LinkEnd::Lost(Loss::Broken),
            };
            match message {
                FromOwner::Heartbeat(beat) => {
                    host.receive_heartbeat(beat);
                    if host.owner_link(pool).is_none() {
                        host.set_link(pool, Some(Arc::clone(&link)));
                        info!(pool = pool, owner:% = address, epoch = epoch; "joined the owner");
                    }
                }
                FromOwner::NotOwner { incarnation } => {
                    return LinkEnd::NotOwner { life: incarnation };
                }
                FromOwner::TakeOver { epoch: of } if of == epoch => return LinkEnd::Take,
                FromOwner::Reply(number, reply) => {
                    if let Some(late) = link.deliver_reply(number, reply) {
                        warn!(pool = pool, owner:% = address, reply = late.name(); "an answer came too late");
                    }
                }
                FromOwner::Advise {
                    number,
                    stage,
                    workers,
                    takes,
                } => {
                    let (host, link) = (Arc::clone(host), Arc::clone(&link));
                    let stop = host.stop.clone();
                    stop.spawn(async move {
                        let stage = pool::StageKey {
                            job: stage.0.into(),
                            occurrence: stage.1,
                            step: stage.2,
                        };
                        let workers: Vec<pool::WorkerId> =
                            workers.iter().map(|id| id.as_str().into()).collect();
                        let takes = Duration::from_millis(takes);
                        let allowed = host.advisor.query(&stage, &workers, takes).await;
                        let allowed = allowed.map(|(rows, valid)| {
                            let rows = rows.into_iter().map(|(id, text)| (id.to_string(), text));
                            (rows.collect(), valid)
                        });
                        link.send(ToOwner::Advised(number, allowed));
                    });
                }
                FromOwner::TakeOver { .. } | FromOwner::OwnerReachable(_) => {}
            }
        }
    };
    let ended = tokio::select! {
        ended = reads => ended,
        () = beats => LinkEnd::Lost(Loss::Broken),
        () = write(Sender::new(half), from) => LinkEnd::Lost(Loss::Broken),
        () = host.stop.ended() => LinkEnd::Stopped,
    };
    host.set_link(pool, None);
    ended
}

/// Asks another host, for this long, whether it hears the owner of a pool or is it.
pub(crate) async fn hears(address: SocketAddr, pool: u32, time: Duration) -> WitnessAnswer {
    let ask = async {
        let (read, half) = match connect(address, time).await {
            Ok(stream) => stream.into_split(),
            Err(Loss::Refused) => return WitnessAnswer::Refused,
            Err(_) => return WitnessAnswer::TimedOut,
        };
        let mut sender = Sender::<ToOwner>::new(half);
        if sender.feed(&ToOwner::OwnerReachable(pool)).await.is_err()
            || sender.flush().await.is_err()
        {
            return WitnessAnswer::TimedOut;
        }
        match Receiver::<FromOwner>::new(read).next().await {
            Ok(Some(FromOwner::OwnerReachable(true))) => WitnessAnswer::Hears,
            Ok(Some(FromOwner::OwnerReachable(false))) => WitnessAnswer::DoesNotHear,
            _ => WitnessAnswer::TimedOut,
        }
    };
    timeout(time, ask).await.unwrap_or(WitnessAnswer::TimedOut)
}

/// Answers other hosts.
pub(crate) async fn listen(host: &Arc<Host>) {
    let listener = loop {
        match TcpListener::bind(host.settings.address).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(address:% = host.settings.address, error:% = error; "can't listen for other hosts");
                if !host.stop.sleep(Duration::from_millis(500)).await {
                    return;
                }
            }
        }
    };
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.stop.ended() => return,
        };
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let serving = Arc::clone(host);
        host.stop.spawn(async move {
            let stop = serving.stop.clone();
            tokio::select! {
                () = serve(serving, stream) => {}
                () = stop.ended() => {}
            }
        });
    }
}

async fn serve(host: Arc<Host>, stream: TcpStream) {
    let (read, half) = stream.into_split();
    let mut receiver = Receiver::<ToOwner>::new(read);
    let (to, from) = mpsc::channel::<FromOwner>(QUEUE);
    let reads = async {
        let first = receiver.next_within(SILENCE).await;
        let (name, address, power, owner) = match first {
            Ok(Some(ToOwner::Hello {
                host: name,
                address,
                pool,
                epoch,
                processors,
                link_mbps,
            })) => match host.owner(pool).filter(|owner| owner.epoch() == epoch) {
                Some(owner) => (name, address, (processors, link_mbps), owner),
                None => {
                    drop(
                        to.send(FromOwner::NotOwner {
                            incarnation: host.incarnation,
                        })
                        .await,
                    );
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    return;
                }
            },
            Ok(Some(ToOwner::OwnerReachable(pool))) => {
                let state = host.pool_state(pool);
                let recent = clock::now().saturating_sub(state.last_heartbeat.received_at) < 900;
                let hears = state.owner.is_some() || recent && state.link.is_some();
                drop(to.send(FromOwner::OwnerReachable(hears)).await);
                tokio::time::sleep(Duration::from_millis(50)).await;
                return;
            }
            _ => return,
        };
        let since = Instant::now();
        let member = owner.joined(&name, address, power, to.clone());
        loop {
            let Ok(Some(message)) = receiver.next_within(SILENCE * 2).await else {
                break;
            };
            owner.told(&name, member, message, &to);
            if owner.is_over() {
                drop(
                    to.send(FromOwner::NotOwner {
                        incarnation: host.incarnation,
                    })
                    .await,
                );
                break;
            }
        }
        owner.left(&name, member);
        info!(host = name, ms = since.elapsed().as_millis() as u64; "a host left the owner");
    };
    tokio::select! {
        () = reads => {}
        () = write(Sender::new(half), from) => {}
    }
}

impl Owner {
    /// Answers a call of a host, or of this one.
    pub(crate) async fn handle_call(self: &Arc<Self>, call: Call) -> Reply {
        match call {
            Call::State(id) => self.state(&id).map_or(Reply::Unknown, Reply::State),
            Call::Cancel(id) => self.cancel(&id).await,
            Call::Insert(pool, job) => self.insert(pool, *job).await,
            Call::Catalog => match self.host().packed_catalog() {
                Some(packed) => {
                    info!(version = packed.version, bytes = packed.text.len(); "told the configuration");
                    Reply::Catalog(packed)
                }
                None => Reply::Unsure,
            },
            Call::PoolMap => Reply::PoolMap(Box::new((*self.host().pool_map()).clone())),
        }
    }
}
