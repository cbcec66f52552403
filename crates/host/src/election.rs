//! Which host owns the pool.
//!
//! A host without a link to the owner finds it by its row. If the owner can't be reached, and no other host hears it, the
//! host takes its place by compare-and-set on that row. Hosts near the store go first: the owner writes there often.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::host::Host;
use crate::outside::{Row, StoreError, Transaction};
use crate::owner::Owner;
use crate::peers::{self, Ended};
use crate::rows::{HOSTS, HostRow, OWNER, OwnerRow};

/// A store that answers within this is in the same region.
pub(crate) const NEAR_MS: u64 = 12;
/// Hosts far from the store leave the others this much time to take the pool.
const FAR_WAIT: Duration = Duration::from_millis(500);
/// Hosts equally near go one after the other.
const SPREAD_MS: u64 = 120;
/// Hosts with less of a processor than another leave it this much time to take the pool.
const SMALL_WAIT: Duration = Duration::from_millis(350);
/// At the first start, hosts wait this long for the rows of the others.
const GATHER: Duration = Duration::from_millis(150);
/// A new owner may be known by its row before it answers for the pool; it has this long.
const BEGINS: Duration = Duration::from_millis(700);
/// How many other hosts are asked whether they hear the owner.
const WITNESSES: usize = 4;

/// Takes part in the choice of the owner until the host stops.
pub(crate) async fn run(host: &Arc<Host>) {
    tokio::select! {
        () = take_part(host) => {}
        () = host.stop.ended() => {}
    }
}

async fn take_part(host: &Arc<Host>) {
    register(host).await;
    let mut urged: Option<u64> = None;
    let mut lost: Option<(u64, Instant)> = None;
    let mut began: Option<(u64, Instant)> = None;
    loop {
        let Some(found) = read_owner(host).await else {
            tokio::time::sleep(Duration::from_millis(120)).await;
            continue;
        };
        let Some((row, version)) = found else {
            tokio::time::sleep(GATHER).await;
            wait_turn(host).await;
            if read_owner(host).await.is_some_and(|found| found.is_none()) {
                own(host, None, 0).await;
            }
            continue;
        };
        let mine = row.host == host.settings.id;
        if !mine && urged != Some(row.epoch) && lost.is_none_or(|(epoch, _)| epoch != row.epoch) {
            match peers::join(host, row.address, row.epoch).await {
                Ended::Stopped => return,
                // An owner that was replaced and doesn't know it may urge too: its epoch tells.
                Ended::Take => urged = Some(row.epoch),
                Ended::NotOwner
                    if began
                        .is_none_or(|(epoch, at)| epoch != row.epoch || at.elapsed() < BEGINS) =>
                {
                    if began.is_none_or(|(epoch, _)| epoch != row.epoch) {
                        began = Some((row.epoch, Instant::now()));
                    }
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
                Ended::NotOwner | Ended::Lost => {
                    lost = Some((row.epoch, Instant::now()));
                    info!(owner = row.host.as_str(), epoch = row.epoch; "lost the owner");
                }
            }
            continue;
        }
        if host.stop.is_draining() {
            lost = None;
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        }
        if urged != Some(row.epoch) {
            wait_turn(host).await;
            if !mine && witnessed(host, &row).await {
                lost = None;
                tokio::time::sleep(Duration::from_millis(150)).await;
                continue;
            }
        }
        urged = None;
        lost = None;
        let unchanged = read_owner(host)
            .await
            .flatten()
            .is_some_and(|(_, now)| now == version);
        if unchanged {
            own(host, Some(row), version).await;
        }
    }
}

/// Writes this host's row, by which others find it.
async fn register(host: &Arc<Host>) {
    let row = HostRow {
        address: host.settings.address,
        data_centre: host.settings.data_centre.clone(),
        region: host.settings.region.clone(),
        processors: host.settings.processors,
        life: host.life,
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    let transaction = Transaction {
        part: Host::PART.to_owned(),
        puts: vec![(HOSTS.to_owned(), host.settings.id.clone(), value)],
        ..Transaction::default()
    };
    while let Err(error) = host.store.commit(&transaction).await {
        warn!(error:% = error; "this host's row is not written yet");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

pub(crate) async fn read_owner(host: &Host) -> Option<Option<(OwnerRow, u64)>> {
    match host.store.get(OWNER, Host::PART, OWNER).await {
        Ok(row) => Some(row.as_ref().and_then(parse)),
        Err(_) => None,
    }
}

fn parse(row: &Row) -> Option<(OwnerRow, u64)> {
    let owner = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((owner, row.version))
}

/// Lets hosts go first that are better placed: near the store, and with the most of a processor.
async fn wait_turn(host: &Host) {
    let mut wait = Duration::from_millis(xxh3_64(host.settings.id.as_bytes()) % SPREAD_MS);
    if host.away() > NEAR_MS {
        wait += FAR_WAIT;
    }
    let rows = host.store.list(HOSTS, Host::PART).await;
    let most = rows.map_or(0.0, |page| {
        page.rows
            .iter()
            .filter_map(|row| serde_json::from_slice::<HostRow>(row.value.as_deref()?).ok())
            .map(|row| row.processors)
            .fold(0.0, f64::max)
    });
    if host.settings.processors < most {
        wait += SMALL_WAIT;
    }
    tokio::time::sleep(wait).await;
}

/// Whether some other host hears the owner: then this one is cut off, and the owner is not lost.
async fn witnessed(host: &Host, owner: &OwnerRow) -> bool {
    let Ok(page) = host.store.list(HOSTS, Host::PART).await else {
        return true;
    };
    let mut others: Vec<HostRow> = page
        .rows
        .iter()
        .filter(|row| row.key != host.settings.id && row.key != owner.host)
        .filter_map(|row| serde_json::from_slice(row.value.as_deref()?).ok())
        .collect();
    others.sort_by_key(|other| {
        xxh3_64(
            &[
                other.address.to_string().as_bytes(),
                &host.life.to_le_bytes(),
            ]
            .concat(),
        )
    });
    others.truncate(WITNESSES);
    let asked = others.iter().map(|other| peers::hears(other.address));
    let told = futures::future::join_all(asked).await;
    told.contains(&Some(true))
}

/// Takes the pool, and owns it until another does or this host leaves.
async fn own(host: &Arc<Host>, before: Option<OwnerRow>, version: u64) {
    let began = clock::now();
    let Ok(listed) = host.store.list(&host.settings.places.workers, "").await else {
        return;
    };
    let former: Vec<String> = before
        .as_ref()
        .map_or_else(Vec::new, |row| row.roster.clone());
    let mut roster = former.clone();
    let named = listed.rows.iter().filter(|row| {
        let value = row.value.as_deref().unwrap_or_default();
        host.decode.worker(&row.key, value).is_some()
    });
    roster.extend(named.map(|row| row.key.clone()));
    roster.sort();
    roster.dedup();
    let row = OwnerRow {
        host: host.settings.id.clone(),
        address: host.settings.address,
        epoch: before.as_ref().map_or(0, |row| row.epoch) + 1,
        life: host.life,
        serial: 0,
        roster,
        silent: before
            .as_ref()
            .map_or_else(Vec::new, |row| row.silent.clone()),
    };
    let Ok(value) = serde_json::to_vec(&row) else {
        return;
    };
    let transaction = Transaction {
        part: Host::PART.to_owned(),
        checks: vec![(OWNER.to_owned(), OWNER.to_owned(), version)],
        puts: vec![(OWNER.to_owned(), OWNER.to_owned(), value)],
        deletes: Vec::new(),
    };
    let taken = match host.store.commit(&transaction).await {
        Ok(version) => version,
        Err(StoreError::Lost { .. }) => match read_owner(host).await.flatten() {
            Some((found, version)) if found == row => version,
            _ => return,
        },
        Err(_) => return,
    };
    info!(epoch = row.epoch, before = before.as_ref().map_or("", |row| row.host.as_str()), workers = row.roster.len(), ms = clock::now().saturating_sub(began); "took the pool");
    Owner::run(host, row, former, taken, listed).await;
}
