//! Runs a placer.

use std::sync::Arc;

use clap::Parser as _;
use jsonrpsee::server::{Server as Listener, ServerConfig};
use placer::{Node, Rpc, Server, Settings};
use snafu::{ResultExt as _, Whatever};
use telemetry::{Shutdown, logs};
use wire::rpc::PlacerServer as _;

/// Upper bound on connections from entries, other placers and operators.
const MAX_CONNECTIONS: u32 = 4_096;

#[tokio::main]
async fn main() -> Result<(), Whatever> {
    let settings = Settings::parse();
    logs::init(&settings.telemetry.log)?;
    let shutdown = Shutdown::default();
    shutdown
        .drain_on_signal()
        .whatever_context("signals can't be handled")?;
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .set_tcp_no_delay(true)
        .build();
    let listener = Listener::builder()
        .set_config(config)
        .build(settings.listen)
        .await
        .with_whatever_context(|_| format!("listen: can't listen on {}", settings.listen))?;
    let address = listener
        .local_addr()
        .whatever_context("listen: no address")?;
    let incarnation = format!("{:x}", std::process::id() ^ folded_time());
    let options = settings.options(&incarnation, address);
    let name = options.name.clone();
    let platform = Arc::new(platform::Client::new(&settings.platform.to_string()));
    let workers = Arc::new(worker::Client::default());
    let peers = Arc::new(Rpc::default());
    let node = Node::new(
        options,
        platform.clone(),
        platform,
        workers,
        peers,
        shutdown.clone(),
    );
    let metrics = node
        .health
        .serve(settings.telemetry.metrics, &shutdown)
        .await?;
    let server = listener.start(Server::new(Arc::clone(&node)).into_rpc());
    node.spawn();
    println!("placer {address} metrics {metrics}");
    log::info!(placer = name.as_str(); "started");
    shutdown.draining().await;
    log::info!(placer = name.as_str(); "stopping");
    node.drain().await;
    shutdown.join().await;
    _ = server.stop();
    server.stopped().await;
    log::info!(placer = name.as_str(); "stopped");
    Ok(())
}

/// Low 32 bits of the time in milliseconds, to distinguish this incarnation of the process from
/// others.
fn folded_time() -> u32 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| (d.as_millis() as u64 & u64::from(u32::MAX)) as u32)
}
