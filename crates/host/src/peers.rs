//! Connections between hosts.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::{CrashHistory, LeaseBound, Ms};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::host::Host;
use crate::link::Link;
use crate::owner::Owner;
use crate::verdict::WitnessAnswer;
use crate::wire::{Call, FromOwner, Message, Receiver, Reply, Sender, ToOwner};

/// Time between two heartbeats. A shorter interval would detect the loss of an owner sooner, at the price of more wake-ups on
/// each host.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// An owner from which no byte has arrived for this long is considered lost: three heartbeats, and some time for the connection
/// between regions.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for establishing a connection; the round trip between regions takes 40 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of frames that wait to be written to one host; if more accumulate, the host doesn't read.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// What an owner hands over with its request that another host take over the pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Handover {
    /// Crashes that it could not store.
    pub crashes: Vec<CrashHistory>,
    /// How long to wait for workers that don't answer it.
    pub lease_bounds: Vec<LeaseBound>,
    /// When it was received; the waits count from then.
    pub received_at: Ms,
}

/// Why a link to the owner ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LinkEnd {
    /// The connection failed or was not established.
    Lost(LinkLoss),
    /// The host at the address is not the owner.
    NotOwner {
        /// Incarnation of that host: the start of its process in Unix milliseconds.
        incarnation: u64,
    },
    /// The owner requests that this host take over the pool.
    TakeOver(Handover),
    /// This host is stopping.
    Stopped,
}

/// How a link to the owner was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkLoss {
    /// No connection was established in time.
    NotReached,
    /// The owner's machine refused the connection, so the process has ended.
    Refused,
    /// Nothing arrived for [`HEARTBEAT_TIMEOUT`].
    Silent,
    /// The connection was closed, or this host could not write to it.
    Broken,
}

/// Writes the messages of a channel to a connection, several frames at a time.
async fn write_messages<T: Message>(mut sender: Sender<T>, mut from: mpsc::Receiver<T>) {
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

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, LinkLoss> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| LinkLoss::NotReached)?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => LinkLoss::Refused,
            _ => LinkLoss::NotReached,
        })?;
    stream.set_nodelay(true).map_err(|_| LinkLoss::Broken)?;
    Ok(stream)
}

/// Connects to the owner of a pool and keeps the link until it ends.
pub(crate) async fn join(host: &Arc<Host>, pool: u32, address: SocketAddr, epoch: u64) -> LinkEnd {
    let stream = match connect(address, CONNECT_TIMEOUT).await {
        Ok(stream) => stream,
        Err(loss) => return LinkEnd::Lost(loss),
    };
    let (read, half) = stream.into_split();
    let mut receiver = Receiver::<FromOwner>::new(read);
    let (to, from) = mpsc::channel(MAX_QUEUED_FRAMES);
    let link = Arc::new(Link::new(to));
    link.send(ToOwner::Hello {
        host: host.settings.id.clone(),
        address: host.settings.address,
        pool,
        epoch,
        processors: host.settings.processors,
        link_mbps: host.settings.link_mbps,
        sent: clock::now(),
    });
    let heartbeats = async {
        loop {
            let catalog = host.catalog_version();
            let heartbeat = ToOwner::Heartbeat {
                catalog,
                store_available: host.store_available(),
                store_rtt: host.store_rtt(),
                owned_pools: host.owned_pool_count(),
                sent: clock::now(),
                store_answer_age: host.store_answer_age(),
                follows_workers: pool == 0 && host.owned_pool_count() > 0,
            };
            if !link.send(heartbeat) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
                () = host.probe_finished.notified() => {}
            }
        }
    };
    let reads = async {
        loop {
            let message = match receiver.next_within(HEARTBEAT_TIMEOUT).await {
                Ok(Some(message)) => message,
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    return LinkEnd::Lost(LinkLoss::Silent);
                }
                Ok(None) | Err(_) => return LinkEnd::Lost(LinkLoss::Broken),
            };
            match message {
                FromOwner::Heartbeat(heartbeat) => {
                    host.receive_heartbeat(heartbeat);
                    if host.owner_link(pool).is_none() {
                        host.set_link(pool, Some(Arc::clone(&link)));
                        info!(pool = pool, owner:% = address, epoch = epoch; "connected to the pool owner");
                    }
                }
                FromOwner::NotOwner { incarnation } => {
                    return LinkEnd::NotOwner { incarnation };
                }
                FromOwner::TakeOver {
                    epoch: taken,
                    crashes,
                    lease_bounds,
                } if taken == epoch => {
                    return LinkEnd::TakeOver(Handover {
                        crashes,
                        lease_bounds,
                        received_at: clock::now(),
                    });
                }
                FromOwner::Reply(number, reply) => {
                    if let Some(late) = link.deliver_reply(number, reply) {
                        warn!(pool = pool, owner:% = address, reply = late.name(); "reply received after its call timed out");
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
                    stop.spawn_until_end(async move {
                        let stage = pool::StageKey {
                            job: stage.0.into(),
                            occurrence: stage.1,
                            step: stage.2,
                        };
                        let workers: Vec<pool::WorkerId> =
                            workers.iter().map(|id| id.as_str().into()).collect();
                        let duration = Duration::from_millis(takes);
                        let tickets = host.advisor.query(&stage, &workers, duration).await;
                        let tickets = tickets.map(|(rows, valid)| {
                            let rows = rows.into_iter().map(|(id, text)| (id.to_string(), text));
                            (rows.collect(), valid)
                        });
                        link.send(ToOwner::Advised(number, tickets));
                    });
                }
                FromOwner::WorkerChanges(changes) => host.receive_worker_changes(changes),
                FromOwner::TakeOver { .. } | FromOwner::OwnerReachable(_) => {}
            }
        }
    };
    let ended = tokio::select! {
        ended = reads => ended,
        () = heartbeats => LinkEnd::Lost(LinkLoss::Broken),
        () = write_messages(Sender::new(half), from) => LinkEnd::Lost(LinkLoss::Broken),
        () = host.stop.ended() => LinkEnd::Stopped,
    };
    host.set_link(pool, None);
    ended
}

/// Asks another host whether it receives heartbeats of a pool's owner or is the owner; waits at most `limit` for the answer.
pub(crate) async fn ask_if_owner_reachable(
    address: SocketAddr,
    pool: u32,
    limit: Duration,
) -> WitnessAnswer {
    let answer = async {
        let (read, half) = match connect(address, limit).await {
            Ok(stream) => stream.into_split(),
            Err(LinkLoss::Refused) => return WitnessAnswer::Refused,
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
    timeout(limit, answer)
        .await
        .unwrap_or(WitnessAnswer::TimedOut)
}

/// Accepts connections of other hosts and serves them until this host stops.
pub(crate) async fn listen(host: &Arc<Host>) {
    let listener = loop {
        match TcpListener::bind(host.settings.address).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(address:% = host.settings.address, error:% = error; "binding the listen address for hosts failed; retrying");
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
        host.stop.spawn_until_end(serve(serving, stream));
    }
}

/// Serves a connection of another host: its link to this owner, or a query about the owner of a pool.
async fn serve(host: Arc<Host>, stream: TcpStream) {
    let (read, half) = stream.into_split();
    let mut receiver = Receiver::<ToOwner>::new(read);
    let (to, from) = mpsc::channel::<FromOwner>(MAX_QUEUED_FRAMES);
    let reads = async {
        let first = receiver.next_within(HEARTBEAT_TIMEOUT).await;
        let (name, address, resources, sent, owner) = match first {
            Ok(Some(ToOwner::Hello {
                host: name,
                address,
                pool,
                epoch,
                processors,
                link_mbps,
                sent,
            })) => match host.owner(pool).filter(|owner| owner.epoch() == epoch) {
                Some(owner) => (name, address, (processors, link_mbps), sent, owner),
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
                let reachable = state.owner.is_some() || recent && state.link.is_some();
                drop(to.send(FromOwner::OwnerReachable(reachable)).await);
                tokio::time::sleep(Duration::from_millis(50)).await;
                return;
            }
            _ => return,
        };
        let since = Instant::now();
        let connection = owner.host_connected(&name, address, resources, sent, to.clone());
        loop {
            let Ok(Some(message)) = receiver.next_within(HEARTBEAT_TIMEOUT * 2).await else {
                break;
            };
            owner.handle_message(&name, connection, message, &to);
            if owner.has_ended() {
                drop(
                    to.send(FromOwner::NotOwner {
                        incarnation: host.incarnation,
                    })
                    .await,
                );
                break;
            }
        }
        owner.host_disconnected(&name, connection);
        info!(host = name, ms = since.elapsed().as_millis() as u64; "host disconnected from the pool owner");
    };
    tokio::select! {
        () = reads => {}
        () = write_messages(Sender::new(half), from) => {}
    }
}

impl Owner {
    /// Handles a call of another host or of this one.
    pub(crate) async fn handle_call(self: &Arc<Self>, call: Call) -> Reply {
        match call {
            Call::State(id, caller) => self.state(&id, &caller).await,
            Call::Cancel(id, caller) => self.cancel(&id, &caller).await,
            Call::Insert(pool, job) => self.insert(pool, *job).await,
            Call::Catalog => match self.host().packed_catalog() {
                Some(packed) => {
                    info!(version = packed.version, bytes = packed.text.len(); "configuration sent to a host");
                    Reply::Catalog(packed)
                }
                None => Reply::Unsure,
            },
            Call::CatalogVersion => self.host().confirmed_version().await,
            Call::PoolMap => Reply::PoolMap(Box::new((*self.host().pool_map()).clone())),
            Call::QuotaGiven(given) => Reply::QuotaTaken(self.quota.receive_given(&given).await),
        }
    }
}
