//! Runs a placer.

use std::sync::Arc;
use std::time::Duration;

use clap::Parser as _;
use placer::{Node, Rpc, Settings};
use snafu::{ResultExt as _, Whatever};
use telemetry::{Shutdown, logs};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Time limit for dropping what is left at the end of the process.
const DROP_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> Result<(), Whatever> {
    let settings = Settings::parse();
    logs::init(&settings.telemetry.log)?;
    let runtime = Runtime::new().whatever_context("runtime: can't be started")?;
    let result = runtime.block_on(run(settings));
    // Calls that are dropped with the runtime are logged, so the log is written after that.
    runtime.shutdown_timeout(DROP_TIMEOUT);
    logs::flush();
    result
}

async fn run(settings: Settings) -> Result<(), Whatever> {
    let shutdown = Shutdown::default();
    shutdown
        .drain_on_signal()
        .whatever_context("signals can't be handled")?;
    let listener = TcpListener::bind(settings.listen)
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
    shutdown.spawn_connection(placer::serve(listener, Arc::clone(&node)));
    node.spawn();
    println!("placer {address} metrics {metrics}");
    log::info!(placer = name.as_str(); "started");
    shutdown.draining().await;
    log::info!(placer = name.as_str(); "stopping");
    node.stop().await;
    log::info!(placer = name.as_str(); "stopped");
    Ok(())
}

/// Low 32 bits of the time in milliseconds, to distinguish this incarnation of the process from
/// others.
fn folded_time() -> u32 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| (d.as_millis() as u64 & u64::from(u32::MAX)) as u32)
}
