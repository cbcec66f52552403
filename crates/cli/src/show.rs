//! Formats placers, racks, workers and quotas as tables.

use std::collections::BTreeMap;
use std::time::Duration;

use config::raw;
use jsonrpsee::http_client::HttpClientBuilder;
use placer::Session;
use platform::{Error, Table};
use resource::{Size, id};
use wire::Status;
use wire::rpc::PlacerClient as _;

/// Timeout of a request to one placer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the sessions of all placers, by name.
///
/// # Errors
/// If the table does not answer.
pub async fn sessions(table: &dyn Table) -> Result<BTreeMap<id::Placer, Session>, Error> {
    let scan = table.scan(&[Session::PREFIX], 0).await?;
    let session = |row: platform::Row| {
        let session = serde_json::from_str(row.value.as_ref()?).ok()?;
        Some((row.key.strip_prefix(Session::PREFIX)?.to_owned(), session))
    };
    Ok(scan.rows.into_iter().filter_map(session).collect())
}

/// Returns the status of the placer at an address; `None` if it does not answer.
pub async fn status(address: &str) -> Option<Status> {
    client(address)?.status().await.ok()
}

/// Requests that a placer hand over its racks and stop; `false` if it does not answer.
pub async fn drain(address: &str) -> bool {
    match client(address) {
        Some(client) => client.drain().await.unwrap_or(false),
        None => false,
    }
}

fn client(address: &str) -> Option<jsonrpsee::http_client::HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(REQUEST_TIMEOUT)
        .build(format!("http://{address}"))
        .ok()
}

/// Formats placers as a table.
#[must_use]
pub fn placers(sessions: &BTreeMap<id::Placer, Session>) -> String {
    let mut text = format!(
        "{:<24}{:<22}{:<14}{:<14}{:>8}  entries\n",
        "placer", "address", "region", "data centre", "config"
    );
    for (name, s) in sessions {
        let entries: Vec<String> = s.entries.iter().map(|(n, v)| format!("{n}:{v}")).collect();
        let state = if s.draining { " (stopping)" } else { "" };
        text += &format!(
            "{name:<24}{:<22}{:<14}{:<14}{:>8}  {}{state}\n",
            s.address,
            s.region,
            s.data_centre,
            s.applied,
            entries.join(" "),
        );
    }
    text
}

/// Formats racks as a table.
#[must_use]
pub fn racks(statuses: &[Status]) -> String {
    let mut text = format!(
        "{:<14}{:<24}{:>7}{:<12}{:>8}{:>7}{:>9}\n",
        "rack", "owner", "epoch", "  stage", "workers", "tasks", "waiting"
    );
    let mut lines: Vec<String> = Vec::new();
    for status in statuses {
        for r in &status.racks {
            let (owner, n) = (&status.placer, r.workers.len());
            lines.push(format!(
                "{:<14}{owner:<24}{:>7}  {:<10}{n:>8}{:>7}{:>9}\n",
                r.rack, r.epoch, r.stage, r.tasks, r.waiting
            ));
        }
    }
    lines.sort();
    text += &lines.concat();
    text
}

/// Formats workers as a table.
#[must_use]
pub fn hosts(statuses: &[Status]) -> String {
    let mut text = format!(
        "{:<18}{:>10}{:>13}{:>14}  takes work\n",
        "worker", "cores", "memory GiB", "accelerators"
    );
    let all = statuses
        .iter()
        .flat_map(|status| &status.racks)
        .flat_map(|rack| &rack.workers);
    for (name, used, open) in all {
        text += &format!(
            "{name:<18}{}  {}\n",
            amounts(*used),
            if *open { "yes" } else { "no" }
        );
    }
    text
}

/// Formats teams with their quotas as a table.
#[must_use]
pub fn quotas(cell: &raw::Cell, statuses: &[Status]) -> String {
    let mut text = format!(
        "{:<16}{:>10}{:>13}{:>14}{:>10}{:>13}{:>14}{:>9}\n",
        "team",
        "cores",
        "memory GiB",
        "accelerators",
        "of cores",
        "of memory",
        "of accel.",
        "waiting"
    );
    let racks = statuses.iter().flat_map(|status| &status.racks);
    let used: BTreeMap<&str, (Size, u32)> = racks
        .flat_map(|rack| &rack.teams)
        .map(|(team, used, waiting)| (team.as_str(), (*used, *waiting)))
        .collect();
    for team in &cell.teams {
        let (used, waiting) = used.get(team.name.as_str()).copied().unwrap_or_default();
        let quota = Size::try_from(team.quota).unwrap_or_default();
        text += &format!(
            "{:<16}{}{}{waiting:>9}\n",
            team.name,
            amounts(used),
            amounts(quota)
        );
    }
    text
}

fn amounts(size: Size) -> String {
    let cores = size.millicores as f64 / 1_000.0;
    let memory = size.memory_mib as f64 / 1_024.0;
    format!("{cores:>10.1}{memory:>13.1}{:>14}", size.accelerators)
}
