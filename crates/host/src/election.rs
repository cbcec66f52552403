//! The election of the owner of each pool.
//!
//! A host without a link to a pool's owner finds the owner by its row in the store. If the owner can't be reached and other
//! hosts don't receive its heartbeats either ([`crate::verdict`]), the host replaces it by a compare-and-set on that row. The
//! row also names the owner's successors: hosts with a large share of a processor and without a pool of their own, near the
//! store since an owner writes there often. No host needs to know all other hosts.

mod participant;
mod takeover_reason;

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::Mechanism;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::participant::Participant;
use self::takeover_reason::TakeoverReason;
use crate::claim::{Claim, ClaimVersion};
use crate::clock;
use crate::first_source::{self, NEAR_STORE_RTT_MS};
use crate::host::Host;
use crate::interfaces::{StoreError, Transaction};
use crate::owner::Owner;
use crate::owner_rows::{self, KnownRow};
use crate::peers::Handover;
use crate::pool_map::PoolMap;
use crate::rows::{COMMON, OWNER, OwnerRow, POOL_MAP, ROSTER, RosterRow, pool_part};
use crate::suitability::Suitability;
use crate::takeover_delay::TakeoverDelay;

/// Takeover attempts of equally suitable hosts that aren't successors are spread over this time, in milliseconds.
const SPREAD_MS: u64 = 200;
/// A pool that has had no owner yet is claimed after this delay, so that more hosts can take part.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(150);
/// Number of attempts to write a claim when the former owner changes its row meanwhile.
const CLAIM_ATTEMPTS: usize = 3;
/// Delay after a failed attempt to take over a pool.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Takes part in the elections of all pools until the host stops.
pub(crate) async fn run(host: &Arc<Host>) {
    let mut tasks = JoinSet::new();
    let elections = async {
        let mut started = 0;
        loop {
            let pool_map_changed = host.pool_map_changed.notified();
            let pools = host.pool_map().pool_count();
            for pool in started..pools {
                let host = Arc::clone(host);
                tasks.spawn(async move { take_part(&host, pool).await });
            }
            started = pools;
            pool_map_changed.await;
        }
    };
    let pool_map = async {
        learn_pool_map(host).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = elections => {}
        () = pool_map => {}
        () = owner_rows::follow(host) => {}
        () = host.stop.ended() => {}
    }
    tasks.shutdown().await;
}

/// Gets the pool map from an owner or the store. Later changes are announced by the owners' heartbeats.
async fn learn_pool_map(host: &Host) {
    let is_known = || host.pool_map().version > 0;
    first_source::wait_for_owner(is_known, || host.store_rtt()).await;
    if !is_known() {
        read_pool_map(host).await;
    }
    host.pool_map_known.send_replace(true);
}

/// Reads the pool map from the store.
async fn read_pool_map(host: &Host) {
    loop {
        match host.store.get(POOL_MAP, COMMON, POOL_MAP).await {
            Ok(row) => {
                let pool_map = row
                    .and_then(|row| serde_json::from_slice::<PoolMap>(row.value.as_deref()?).ok());
                if let Some(pool_map) = pool_map {
                    host.update_pool_map(pool_map);
                }
                return;
            }
            Err(error) => {
                warn!(error:% = error; "reading the pool map failed; retrying");
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

/// Takes part in the election of one pool's owner.
async fn take_part(host: &Arc<Host>, pool: u32) {
    let mut rows = host.owner_rows.subscribe(pool);
    let mut participant = Participant::default();
    loop {
        let known = rows.borrow_and_update().clone();
        match known {
            KnownRow::Unread => drop(rows.changed().await),
            KnownRow::Absent => {
                tokio::time::sleep(FIRST_CLAIM_DELAY).await;
                if wait_before_takeover(host, pool, None, &mut rows).await {
                    claim_and_own(
                        host,
                        pool,
                        None,
                        TakeoverReason::NoOwnerYet,
                        Handover::default(),
                    )
                    .await;
                    wait_before_retry(&mut rows).await;
                }
            }
            KnownRow::Present((row, _)) => {
                let names_this_host = row.host == host.settings.id;
                if names_this_host || participant.has_lost(row.epoch) {
                    participant
                        .take_over_if_lost(host, pool, &row, &mut rows)
                        .await;
                } else if !participant.follow(host, pool, &row).await {
                    return;
                }
            }
        }
    }
}

/// Waits after an attempt to take over a pool until the owner's row has changed, or for a short time, so that a store that
/// refuses calls isn't called again at once.
async fn wait_before_retry(rows: &mut watch::Receiver<KnownRow>) {
    drop(timeout(CLAIM_RETRY_DELAY, rows.changed()).await);
}

/// Waits for the takeover delay of this host. The successors that the owner has named come first, one after the other, then
/// suitable hosts: those near the store, with a large share of a processor, and without a pool. Returns `false` if the owner's
/// row has changed meanwhile, so that this host must not take over. What a pool needs is told by the pool map, so a host that
/// doesn't know it yet waits for that first.
async fn wait_before_takeover(
    host: &Host,
    pool: u32,
    row: Option<&OwnerRow>,
    rows: &mut watch::Receiver<KnownRow>,
) -> bool {
    let mut pool_map_known = host.pool_map_known.subscribe();
    drop(pool_map_known.wait_for(|known| *known).await);
    let successors = row.map_or(&[][..], |row| &row.successors);
    let id = &host.settings.id;
    let hash = xxh3_64_with_seed(id.as_bytes(), pool.into());
    let suitability = Suitability {
        near_store: host.store_rtt() <= NEAR_STORE_RTT_MS,
        processors: host.settings.processors,
        link_mbps: host.settings.link_mbps,
        pools: host.owned_pool_count() + 1,
    };
    let delay = TakeoverDelay {
        is_former_owner: host.has(Mechanism::Restart) && row.is_some_and(|row| row.host == *id),
        successor_index: successors.iter().position(|it| it.host == *id),
        successors: successors.len(),
        remote: host.store_rtt() > NEAR_STORE_RTT_MS,
        processors: host.settings.processors,
        owned_pools: host.owned_pool_count(),
        insufficiency_delay: suitability.insufficiency_delay(host.pool_map().size(pool)),
        spread: Duration::from_millis(hash % SPREAD_MS),
    };
    timeout(delay.total(), rows.changed()).await.is_err()
}

/// Reads the claim of a pool, which consists of its owner and roster; `None` if it can't be read.
async fn read_claim(host: &Host, pool: u32) -> Option<(Claim, ClaimVersion)> {
    let part = pool_part(pool);
    let (owner, roster) = tokio::join!(
        host.store.list(OWNER, &part),
        host.store.list(ROSTER, &part)
    );
    Claim::find(&[owner.ok()?.rows, roster.ok()?.rows].concat())
}

/// Claims the pool, and owns it until another host does or this host leaves. `handover` is from the owner of `previous`.
async fn claim_and_own(
    host: &Arc<Host>,
    pool: u32,
    mut previous: Option<(Claim, ClaimVersion)>,
    reason: TakeoverReason,
    handover: Handover,
) {
    let began = clock::now();
    for _ in 0..CLAIM_ATTEMPTS {
        let former = previous.as_ref().map(|(claim, _)| claim);
        let claim = new_claim(host, former);
        let version = previous
            .as_ref()
            .map_or_else(ClaimVersion::default, |(_, version)| *version);
        match write_claim(host, pool, &claim, version).await {
            ClaimOutcome::Written(version) => {
                let former = previous.map(|(claim, _)| claim);
                info!(pool = pool, epoch = claim.owner.epoch, before = former.as_ref().map_or("", |claim| claim.owner.host.as_str()), workers = claim.roster.roster.len(), grounds:% = reason, crashes = handover.crashes.len(), bounds = handover.lease_bounds.len(), ms = clock::now().saturating_sub(began); "pool ownership acquired");
                host.owner_rows
                    .record(pool, Some((claim.owner.clone(), version)));
                let roster = former.map_or_else(Vec::new, |claim| claim.roster.roster);
                Owner::run(host, pool, claim, roster, handover, version).await;
                return;
            }
            // Reads may return old data. With an unchanged epoch, the former owner has written its rows since, and the claim is
            // tried again with their new version.
            ClaimOutcome::Conflict(found, version) => {
                host.owner_rows
                    .record(pool, Some((found.owner.clone(), version.owner)));
                if former.is_none_or(|former| former.owner.epoch != found.owner.epoch) {
                    return;
                }
                previous = Some((found, version));
            }
            ClaimOutcome::Failed => return,
        }
    }
}

/// The claim by which this host takes over a pool. It keeps the roster that the former owner has stored; the first write of the
/// new owner adds workers that the former one didn't know.
fn new_claim(host: &Host, former: Option<&Claim>) -> Claim {
    let successors = former.map_or_else(Vec::new, |claim| claim.owner.successors.clone());
    let others = successors
        .into_iter()
        .filter(|it| it.host != host.settings.id);
    Claim {
        owner: OwnerRow {
            host: host.settings.id.clone(),
            address: host.settings.address,
            epoch: former.map_or(0, |claim| claim.owner.epoch) + 1,
            incarnation: host.incarnation,
            successors: others.collect(),
        },
        roster: former.map_or_else(RosterRow::default, |claim| claim.roster.clone()),
    }
}

/// The outcome of writing a claim.
enum ClaimOutcome {
    /// The claim was written by this transaction.
    Written(u64),
    /// The store holds another claim, with this version.
    Conflict(Claim, ClaimVersion),
    /// The claim wasn't written, as far as is known.
    Failed,
}

/// Writes a claim if the stored one still has this version.
async fn write_claim(host: &Host, pool: u32, claim: &Claim, version: ClaimVersion) -> ClaimOutcome {
    let (Ok(owner), Ok(roster)) = (claim.put_owner(), claim.put_roster()) else {
        return ClaimOutcome::Failed;
    };
    let transaction = Transaction {
        part: pool_part(pool),
        checks: version.checks(),
        puts: vec![owner, roster],
        ..Transaction::default()
    };
    match host.store.commit(&transaction).await {
        Ok(version) => ClaimOutcome::Written(version),
        Err(StoreError::Lost { .. }) => match read_claim(host, pool).await {
            Some((found, version)) if found == *claim => ClaimOutcome::Written(version.roster),
            _ => ClaimOutcome::Failed,
        },
        Err(StoreError::Conflict { rows }) => {
            let found = Claim::find(&rows);
            found.map_or(ClaimOutcome::Failed, |(claim, version)| {
                ClaimOutcome::Conflict(claim, version)
            })
        }
        Err(_) => ClaimOutcome::Failed,
    }
}
