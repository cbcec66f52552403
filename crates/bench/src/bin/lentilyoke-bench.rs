//! Runs a workload against the entries of a cell and verifies every answer.

use std::path::PathBuf;
use std::time::Duration;

use bench::verify::{self, Journal};
use bench::{Options, Workload, run};
use clap::Parser;
use hyper::Method;
use platform::http;
use snafu::{ResultExt as _, Whatever, whatever};

/// Runs a workload; prints the answers that callers got, and whether every answer was true.
#[derive(Debug, Parser)]
#[command(name = "lentilyoke-bench", version)]
struct Settings {
    /// The workload, a JSON file.
    #[arg(long)]
    workload: PathBuf,
    /// Addresses of entries, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    entries: Vec<String>,
    /// Addresses of workers whose journals are read at the end, separated by commas.
    #[arg(long, value_delimiter = ',')]
    workers: Vec<String>,
    /// Period in which requests arrive, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Seed of arrivals, keys and run times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Factor that is applied to the rates of all request streams.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
}

#[tokio::main]
async fn main() -> Result<(), Whatever> {
    let settings = Settings::parse();
    let text = std::fs::read_to_string(&settings.workload)
        .with_whatever_context(|_| format!("can't read {}", settings.workload.display()))?;
    let workload: Workload = serde_json::from_str(&text)
        .with_whatever_context(|e| format!("{}: {e}", settings.workload.display()))?;
    let options = Options {
        entries: settings.entries,
        duration: Duration::from_secs(settings.seconds),
        seed: settings.seed,
        scale: settings.scale,
    };
    let (tally, requests) = run(&workload, options).await;
    print!("{}", tally.table());
    if settings.workers.is_empty() {
        return Ok(());
    }
    let journals = journals(&settings.workers).await?;
    let runs: usize = journals.iter().map(|j| j.runs.len()).sum();
    let starts: usize = journals.iter().map(|j| j.starts.len()).sum();
    println!(
        "{} requests asked; workers ran {runs} and started {starts} tasks",
        requests.len()
    );
    let findings = verify::check(&requests, &journals);
    if !findings.is_clean() {
        whatever!("some answers were not true: {findings:?}");
    }
    println!("every answer was true");
    Ok(())
}

async fn journals(workers: &[String]) -> Result<Vec<Journal>, Whatever> {
    let client = http::Client::default();
    let mut journals = Vec::new();
    for worker in workers {
        let url = format!("http://{worker}/journal");
        let reply = client
            .call(Method::GET, &url, Vec::new(), Duration::from_secs(5))
            .await;
        let reply =
            reply.with_whatever_context(|_| format!("can't read the journal of {worker}"))?;
        journals.push(
            reply
                .json()
                .with_whatever_context(|_| format!("can't parse the journal of {worker}"))?,
        );
    }
    Ok(journals)
}
