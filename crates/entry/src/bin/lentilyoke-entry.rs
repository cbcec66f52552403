//! The front end that accepts requests from callers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser as _;
use entry::{Entry, Settings, serve};
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
    let placers = settings.placers.iter().map(SocketAddr::to_string).collect();
    let entry = Entry::new(&settings.name, placers, shutdown.clone());
    let metrics = entry
        .health()
        .serve(settings.telemetry.metrics, &shutdown)
        .await?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_whatever_context(|_| format!("listen: can't listen on {}", settings.listen))?;
    let address = listener
        .local_addr()
        .whatever_context("listen: no address")?;
    entry.spawn(settings.routes_interval());
    println!("entry {address} metrics {metrics}");
    log::info!(entry = settings.name.as_str(); "started");
    serve::run(listener, entry, settings.options()).await;
    shutdown.join().await;
    log::info!(entry = settings.name.as_str(); "stopped");
    Ok(())
}
