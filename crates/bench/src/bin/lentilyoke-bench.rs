//! Plays a workload against running entries and checks that every answer was true.

use std::path::PathBuf;
use std::time::Duration;

use bench::verify::{self, Journal};
use bench::{Options, Workload, play};
use clap::Parser;
use hyper::Method;
use platform::http;
use snafu::{ResultExt as _, Whatever, whatever};

/// Plays a workload; prints what callers got, and whether it was true.
#[derive(Debug, Parser)]
#[command(name = "lentilyoke-bench", version)]
struct Settings {
    /// The workload, a JSON file.
    #[arg(long)]
    workload: PathBuf,
    /// Addresses of entries, separated by commas.
    #[arg(long, value_delimiter = ',', required = true)]
    entries: Vec<String>,
    /// Addresses of workers whose journals are read in the end, separated by commas.
    #[arg(long, value_delimiter = ',')]
    workers: Vec<String>,
    /// How long requests arrive, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Makes arrivals the same each time.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Multiplies all rates.
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
        time: Duration::from_secs(settings.seconds),
        seed: settings.seed,
        scale: settings.scale,
    };
    let (tally, asked) = play(&workload, options).await;
    print!("{}", tally.table());
    if settings.workers.is_empty() {
        return Ok(());
    }
    let journals = journals(&settings.workers).await?;
    let runs: usize = journals.iter().map(|j| j.runs.len()).sum();
    let starts: usize = journals.iter().map(|j| j.starts.len()).sum();
    println!(
        "{} requests asked; workers ran {runs} and started {starts} tasks",
        asked.len()
    );
    let findings = verify::check(&asked, &journals);
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
        let reply = reply.with_whatever_context(|_| format!("no journal from {worker}"))?;
        journals.push(
            reply
                .json()
                .with_whatever_context(|_| format!("no journal: {worker}"))?,
        );
    }
    Ok(journals)
}
