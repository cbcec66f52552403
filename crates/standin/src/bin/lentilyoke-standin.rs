//! The fakes as programs: `platform`, `rack` with its workers, and `link`; `control` and `stats`
//! act on a running platform.

use std::future::IntoFuture as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use clap::{Parser, Subcommand};
use platform::{Host, HostStatus, http};
use resource::Size;
use snafu::{OptionExt as _, ResultExt as _, Whatever, whatever};
use standin::serve;
use standin::{Counts, Faults, LinkTraffic, Machine, Platform};
use telemetry::Shutdown;
use tokio::net::TcpListener;

/// Fakes of the platform, of racks of workers and of a link between regions.
#[derive(Debug, Parser)]
#[command(version)]
struct Settings {
    #[command(subcommand)]
    role: Role,
}

#[derive(Debug, Subcommand)]
enum Role {
    /// Serves a fake platform: table, object store and host list.
    Platform {
        /// Address to listen on.
        #[arg(long, env = "LENTILYOKE_LISTEN", default_value = "127.0.0.1:7000")]
        listen: SocketAddr,
        /// Age of the host list, in milliseconds.
        #[arg(long, default_value_t = 3_000)]
        lag_ms: u64,
        /// Latency added to every call, in milliseconds.
        #[arg(long, default_value_t = 0)]
        slow_ms: u64,
    },
    /// Sets the faults of a running platform; without flags it works normally again.
    Control {
        /// Address of the platform.
        #[arg(long, default_value = "127.0.0.1:7000")]
        platform: String,
        /// Every call fails.
        #[arg(long)]
        down: bool,
        /// Latency added to every call, in milliseconds.
        #[arg(long, default_value_t = 0)]
        slow_ms: u64,
        /// Number of further transactions that take effect while their answers are lost.
        #[arg(long, default_value_t = 0)]
        lose: u32,
        /// Age of the host list, in milliseconds.
        #[arg(long, default_value_t = 3_000)]
        lag_ms: u64,
    },
    /// Prints the totals of a running platform: writes, reads, rows written.
    Stats {
        /// Address of the platform.
        #[arg(long, default_value = "127.0.0.1:7000")]
        platform: String,
    },
    /// Relays connections to another address with added latency, and prints the bytes carried each
    /// second.
    Link {
        /// Address that connections are relayed to.
        #[arg(long)]
        to: SocketAddr,
        /// Latency added in each direction, in milliseconds.
        #[arg(long, default_value_t = 20)]
        delay_ms: u64,
    },
    /// Serves the fake workers of one rack and registers them with the platform.
    Rack {
        /// Name of the rack.
        #[arg(long)]
        rack: String,
        /// Address of the platform.
        #[arg(long, default_value = "127.0.0.1:7000")]
        platform: String,
        /// Number of workers.
        #[arg(long, default_value_t = 8)]
        workers: u32,
        /// Cores of each worker.
        #[arg(long, default_value_t = 16)]
        cores: u64,
        /// Memory of each worker, in MiB.
        #[arg(long, default_value_t = 65_536)]
        memory_mib: u64,
        /// Accelerators of each worker.
        #[arg(long, default_value_t = 2)]
        accelerators: u64,
        /// Quick requests that each executor runs at once.
        #[arg(long, default_value_t = 8)]
        slots: u32,
    },
}

#[tokio::main]
async fn main() -> Result<(), Whatever> {
    let stop = Shutdown::default();
    stop.drain_on_signal()
        .whatever_context("signals can't be handled")?;
    match Settings::parse().role {
        Role::Platform {
            listen,
            lag_ms,
            slow_ms,
        } => {
            let store = Arc::new(Platform::default());
            store.set(Faults {
                lag_ms,
                slow_ms,
                ..Faults::default()
            });
            let address = spawn_server(listen, serve::platform_router(store), &stop).await?;
            println!("platform {address}");
        }
        Role::Control {
            platform,
            down,
            slow_ms,
            lose,
            lag_ms,
        } => {
            let faults = Faults {
                down,
                slow_ms,
                lose,
                lag_ms,
            };
            let url = format!("http://{platform}/control");
            let limit = Duration::from_secs(2);
            let reply = http::Client::default().post(&url, &faults, limit).await;
            reply.whatever_context("the platform does not answer")?;
            stop.drain();
        }
        Role::Stats { platform } => {
            let url = format!("http://{platform}/stats");
            let limit = Duration::from_secs(2);
            let client = http::Client::default();
            let reply = client
                .call(hyper::Method::GET, &url, Vec::new(), limit)
                .await;
            let reply = reply.whatever_context("the platform does not answer")?;
            let counts: Counts = reply
                .json()
                .whatever_context("the answer is not that of a fake platform")?;
            println!("{} {} {}", counts.writes, counts.reads, counts.rows);
            stop.drain();
        }
        Role::Link { to, delay_ms } => run_link(to, delay_ms, &stop).await?,
        Role::Rack {
            rack,
            platform,
            workers,
            cores,
            memory_mib,
            accelerators,
            slots,
        } => {
            let size = Size::new(cores * 1_000, memory_mib, accelerators);
            for nth in 0..workers {
                let served = serve::ServedMachine::new(Machine::new(size, slots, 1));
                stop.spawn(served.clone().tick(stop.clone()));
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let address = spawn_server(any, serve::machine_router(served), &stop).await?;
                let name = format!("{rack}-{nth}");
                register(&platform, &name, &rack, address).await?;
                println!("worker {name} {address}");
            }
        }
    }
    stop.draining().await;
    stop.join().await;
    Ok(())
}

async fn spawn_server(
    address: SocketAddr,
    router: Router,
    stop: &Shutdown,
) -> Result<SocketAddr, Whatever> {
    let listener = TcpListener::bind(address)
        .await
        .with_whatever_context(|_| format!("can't listen on {address}"))?;
    let address = listener.local_addr().whatever_context("no address")?;
    let ended = stop.clone();
    stop.spawn(async move {
        tokio::select! {
            _ = axum::serve(listener, router).into_future() => {}
            () = ended.ended() => {}
        }
    });
    Ok(address)
}

async fn register(
    platform: &str,
    name: &str,
    rack: &str,
    address: SocketAddr,
) -> Result<(), Whatever> {
    let host = Host {
        name: name.to_owned(),
        rack: rack.to_owned(),
        address: address.to_string(),
        status: HostStatus::Live,
    };
    let url = format!("http://{platform}/register");
    let limit = Duration::from_secs(1);
    let client = http::Client::default();
    let mut last = None;
    for _ in 0..50 {
        match client.post(&url, &host, limit).await {
            Ok(reply) if reply.status.is_success() => return Ok(()),
            Ok(reply) => whatever!("the platform answers {}", reply.status),
            Err(error) => last = Some(error),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let error = last.whatever_context("no attempt was made")?;
    whatever!("the platform does not answer: {error}")
}

async fn run_link(to: SocketAddr, delay_ms: u64, stop: &Shutdown) -> Result<(), Whatever> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any)
        .await
        .whatever_context("can't listen")?;
    let address = listener.local_addr().whatever_context("no address")?;
    println!("link {address}");
    let traffic = Arc::new(LinkTraffic::default());
    let (counts, ended) = (Arc::clone(&traffic), stop.clone());
    stop.spawn(async move {
        while ended.sleep(Duration::from_secs(1)).await {
            let (outbound, inbound) = (&counts.outbound, &counts.inbound);
            println!(
                "bytes {} {}",
                outbound.load(Ordering::Relaxed),
                inbound.load(Ordering::Relaxed)
            );
        }
    });
    let (delay, ended) = (Duration::from_millis(delay_ms), stop.clone());
    stop.spawn(async move {
        tokio::select! {
            () = standin::link(listener, to.to_string(), delay, traffic) => {}
            () = ended.ended() => {}
        }
    });
    Ok(())
}
