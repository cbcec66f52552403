//! Command line for operators of a lentilyoke cell.

use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser as _;
use cli::apply::{self, Rollout};
use cli::burn::{self, Minute};
use cli::{Command, ConfigCommand, ReportCommand, Settings, ShowCommand, show};
use config::{Cell, raw};
use hyper::Method;
use platform::{Client, http};
use snafu::{OptionExt as _, ResultExt as _, Whatever, whatever};
use wire::Status;

/// Exit code if the configuration is written, but not in force everywhere yet.
const EXIT_PENDING: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    match run(Settings::parse()).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lentilyoke: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<ExitCode, Whatever> {
    let table = Client::new(&settings.platform.to_string());
    match settings.command {
        Command::Config(command) => return configure(&table, command).await,
        Command::Show(command) => show(&table, &command).await?,
        Command::Explain { id, files } => explain(&id, &files)?,
        Command::Drain { placer } => drain(&table, &placer).await?,
        Command::Report(ReportCommand::Burn { entries, svg }) => {
            report_burn(&entries, svg.as_deref()).await?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn configure(table: &Client, command: ConfigCommand) -> Result<ExitCode, Whatever> {
    match command {
        ConfigCommand::Check { file } => {
            let cell = Cell::try_from(read(&file)?);
            let cell = cell.with_whatever_context(|e| format!("not accepted: {e}"))?;
            println!(
                "fine: {} racks, {} teams",
                cell.racks.len(),
                cell.teams.len()
            );
        }
        ConfigCommand::Show => {
            let (version, cell) = in_force(table).await?;
            let cell = cell.whatever_context("no configuration is in force")?;
            eprintln!("version {version}");
            let text = serde_json::to_string_pretty(&cell);
            println!(
                "{}",
                text.whatever_context("can't serialize the configuration")?
            );
        }
        ConfigCommand::Diff { file } => {
            let (version, old) = in_force(table).await?;
            println!("against version {version}:");
            print_changes(old.as_ref(), &read(&file)?);
        }
        ConfigCommand::Apply {
            file,
            base,
            wait_s,
            move_homes,
        } => {
            let new = read(&file)?;
            let (_, old) = in_force(table).await?;
            print_changes(old.as_ref(), &new);
            let result = apply::write(table, new, base, move_homes).await;
            let version = result.with_whatever_context(|error| error.to_string())?;
            let timeout = Duration::from_secs(wait_s);
            return Ok(print_rollout(
                apply::wait_until_in_force(table, version, timeout).await,
            ));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn explain(id: &str, files: &[PathBuf]) -> Result<(), Whatever> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.whatever_context("can't read standard input")?;
    }
    for file in files {
        let contents = std::fs::read_to_string(file);
        text +=
            &contents.with_whatever_context(|e| format!("can't read {}: {e}", file.display()))?;
        text.push('\n');
    }
    let explanation = cli::explain::explain(id, text.lines());
    print!(
        "{}",
        explanation.with_whatever_context(|error| error.to_string())?
    );
    Ok(())
}

fn print_rollout(rollout: Rollout) -> ExitCode {
    match rollout {
        Rollout::Accepted { version, processes } => {
            println!("accepted: version {version} is in force in all {processes} processes");
            ExitCode::SUCCESS
        }
        Rollout::Pending {
            version,
            unconfirmed,
        } => {
            println!(
                "pending: version {version} is not in force in {}",
                unconfirmed.join(", ")
            );
            ExitCode::from(EXIT_PENDING)
        }
    }
}

async fn in_force(table: &Client) -> Result<(u64, Option<raw::Cell>), Whatever> {
    let found = apply::in_force(table).await;
    found.with_whatever_context(|error| format!("can't read the configuration in force: {error}"))
}

fn print_changes(old: Option<&raw::Cell>, new: &raw::Cell) {
    let changes = apply::changes(old, new);
    if changes.is_empty() {
        println!("no changes");
    }
    for change in changes {
        println!("{change}");
    }
}

fn read(file: &Path) -> Result<raw::Cell, Whatever> {
    let mut text = String::new();
    let read = if file == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(drop)
    } else {
        std::fs::read_to_string(file).map(|contents| text = contents)
    };
    read.with_whatever_context(|e| format!("can't read {}: {e}", file.display()))?;
    serde_json::from_str(&text).with_whatever_context(|e| format!("{}: {e}", file.display()))
}

async fn show(table: &Client, command: &ShowCommand) -> Result<(), Whatever> {
    let sessions = show::sessions(table).await;
    let sessions =
        sessions.with_whatever_context(|e| format!("can't read the placers' sessions: {e}"))?;
    let mut statuses: Vec<Status> = Vec::new();
    if !matches!(command, ShowCommand::Placers) {
        for session in sessions.values() {
            statuses.extend(show::status(&session.address).await);
        }
    }
    let text = match command {
        ShowCommand::Placers => show::placers(&sessions),
        ShowCommand::Racks => show::racks(&statuses),
        ShowCommand::Hosts => show::hosts(&statuses),
        ShowCommand::Quotas => {
            let (_, cell) = in_force(table).await?;
            show::quotas(
                &cell.whatever_context("no configuration is in force")?,
                &statuses,
            )
        }
    };
    print!("{text}");
    Ok(())
}

async fn drain(table: &Client, placer: &str) -> Result<(), Whatever> {
    let sessions = show::sessions(table).await;
    let sessions =
        sessions.with_whatever_context(|e| format!("can't read the placers' sessions: {e}"))?;
    let session = sessions
        .get(placer)
        .with_whatever_context(|| format!("there is no placer {placer:?}"))?;
    if !show::drain(&session.address).await {
        whatever!("{placer} does not answer");
    }
    println!("{placer} hands over its racks and stops");
    Ok(())
}

async fn report_burn(entries: &[String], svg: Option<&Path>) -> Result<(), Whatever> {
    let client = http::Client::default();
    let mut minutes: Vec<Minute> = Vec::new();
    for entry in entries {
        let url = format!("http://{entry}/burn");
        let reply = client
            .call(Method::GET, &url, Vec::new(), Duration::from_secs(2))
            .await;
        match reply.and_then(|reply| reply.json::<Vec<Minute>>()) {
            Ok(reported) => minutes.extend(reported),
            Err(error) => eprintln!("skipped entry {entry}: {error}"),
        }
    }
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = since.map_or(0, |d| d.as_secs() / 60);
    print!("{}", burn::table(&burn::rows(&minutes, now)));
    if let Some(to) = svg {
        burn::draw(&minutes, to)
            .map_err(|e| format!("can't draw: {e}"))
            .whatever_context("can't draw the SVG chart")?;
        println!("drawn to {}", to.display());
    }
    Ok(())
}
