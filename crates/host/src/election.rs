//! Which host owns which pool.
//!
//! A host without a link to a pool's owner finds it by its row. If the owner can't be reached, and other hosts don't hear it
//! either ([`crate::verdict`]), the host takes its place by compare-and-set on that row. An owner names its heirs there: hosts
//! near the store, since an owner writes there often, with much of a processor, and without a pool of their own. Nobody has to
//! know all hosts.

mod grounds;
mod member;

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::Mechanism;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::grounds::Grounds;
use self::member::Member;
use crate::claim::{Claim, ClaimVersion};
use crate::clock;
use crate::host::Host;
use crate::interfaces::{StoreError, Transaction};
use crate::owner::Owner;
use crate::owner_rows::{self, Known};
use crate::peers::LinkEnd;
use crate::pool_map::PoolMap;
use crate::rows::{COMMON, OWNER, OwnerRow, POOL_MAP, ROSTER, RosterRow, pool_part};
use crate::suitability::Suitability;
use crate::takeover_delay::TakeoverDelay;

/// A store that answers within this is in the same region.
pub(crate) const NEAR_MS: u64 = 12;
/// Hosts that aren't heirs and are equally well placed are spread over this time, in milliseconds.
const SPREAD_MS: u64 = 200;
/// At the first start, hosts wait this long for others.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(150);
/// A row that the former owner has changed meanwhile is tried again this often.
const TRIES: usize = 3;
/// After a try to take a pool that failed, the next one comes no sooner.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Takes part in the choice of all owners until the host stops.
pub(crate) async fn run(host: &Arc<Host>) {
    let mut tasks = JoinSet::new();
    let part = async {
        read_plan(host).await;
        let mut begun = 0;
        loop {
            let pool_map_changed = host.pool_map_changed.notified();
            let pools = host.pool_map().pool_count();
            for pool in begun..pools {
                let host = Arc::clone(host);
                tasks.spawn(async move { take_part(&host, pool).await });
            }
            begun = pools;
            pool_map_changed.await;
        }
    };
    tokio::select! {
        () = part => {}
        () = owner_rows::follow(host) => {}
        () = host.stop.ended() => {}
    }
    tasks.shutdown().await;
}

/// Reads which pools there are. Later changes come with the owners' beats.
async fn read_plan(host: &Host) {
    loop {
        match host.store.get(POOL_MAP, COMMON, POOL_MAP).await {
            Ok(row) => {
                let plan = row
                    .and_then(|row| serde_json::from_slice::<PoolMap>(row.value.as_deref()?).ok());
                if let Some(plan) = plan {
                    host.update_pool_map(plan);
                }
                return;
            }
            Err(error) => {
                warn!(error:% = error; "the plan of pools is not read yet");
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

/// Takes part in the choice of one pool's owner.
async fn take_part(host: &Arc<Host>, pool: u32) {
    let mut rows = host.owner_rows.subscribe(pool);
    let mut member = Member::default();
    loop {
        let known = rows.borrow_and_update().clone();
        match known {
            Known::Unread => drop(rows.changed().await),
            Known::Absent => {
                tokio::time::sleep(FIRST_CLAIM_DELAY).await;
                if wait_turn(host, pool, None, &mut rows).await {
                    own(host, pool, None, Grounds::NoOwnerYet).await;
                    pause(&mut rows).await;
                }
            }
            Known::There((row, _)) => {
                let mine = row.host == host.settings.id;
                if mine || member.gave_up(row.epoch) {
                    member.stand(host, pool, &row, &mut rows).await;
                } else if member.follow(host, pool, &row).await == LinkEnd::Stopped {
                    return;
                }
            }
        }
    }
}

/// After a try to take a pool, the owner's row is looked at again when it has changed, or a little later: a store that
/// refuses is not asked at once.
async fn pause(rows: &mut watch::Receiver<Known>) {
    drop(timeout(CLAIM_RETRY_DELAY, rows.changed()).await);
}

/// Lets the heirs that the owner has named go first, one after the other, and then hosts that are well placed: near the
/// store, with much of a processor, without a pool. Tells whether it is this host's turn: `false` if the owner's row has
/// changed meanwhile.
async fn wait_turn(
    host: &Host,
    pool: u32,
    row: Option<&OwnerRow>,
    rows: &mut watch::Receiver<Known>,
) -> bool {
    let heirs = row.map_or(&[][..], |row| &row.successors);
    let id = &host.settings.id;
    let hash = xxh3_64_with_seed(id.as_bytes(), pool.into());
    let post = Suitability {
        near: host.store_rtt() <= NEAR_MS,
        processors: host.settings.processors,
        line: host.settings.link_mbps,
        pools: host.owned_pool_count() + 1,
    };
    let turn = TakeoverDelay {
        own: host.has(Mechanism::Restart) && row.is_some_and(|row| row.host == *id),
        place: heirs.iter().position(|heir| heir.host == *id),
        heirs: heirs.len(),
        far: host.store_rtt() > NEAR_MS,
        processors: host.settings.processors,
        owns: host.owned_pool_count(),
        weak: post.wait(host.pool_map().size(pool)),
        spread: Duration::from_millis(hash % SPREAD_MS),
    };
    timeout(turn.wait(), rows.changed()).await.is_err()
}

/// Reads who owns a pool and which workers it may use; `None` if that can't be read.
async fn read_claim(host: &Host, pool: u32) -> Option<(Claim, ClaimVersion)> {
    let part = pool_part(pool);
    let (owner, roster) = tokio::join!(
        host.store.list(OWNER, &part),
        host.store.list(ROSTER, &part)
    );
    Claim::find(&[owner.ok()?.rows, roster.ok()?.rows].concat())
}

/// Takes the pool, and owns it until another does or this host leaves.
async fn own(
    host: &Arc<Host>,
    pool: u32,
    mut before: Option<(Claim, ClaimVersion)>,
    grounds: Grounds,
) {
    let began = clock::now();
    for _ in 0..TRIES {
        let former = before.as_ref().map(|(claim, _)| claim);
        let claim = new_claim(host, former);
        let version = before
            .as_ref()
            .map_or_else(ClaimVersion::default, |(_, version)| *version);
        match write(host, pool, &claim, version).await {
            Written::Yes(version) => {
                let former = before.map(|(claim, _)| claim);
                info!(pool = pool, epoch = claim.owner.epoch, before = former.as_ref().map_or("", |claim| claim.owner.host.as_str()), workers = claim.roster.roster.len(), grounds:% = grounds, ms = clock::now().saturating_sub(began); "took the pool");
                host.owner_rows
                    .note(pool, Some((claim.owner.clone(), version)));
                let roster = former.map_or_else(Vec::new, |claim| claim.roster.roster);
                Owner::run(host, pool, claim, roster, version).await;
                return;
            }
            // Reads may lag behind: the same owner has written its row since it was read.
            Written::Other(found, version) => {
                host.owner_rows
                    .note(pool, Some((found.owner.clone(), version.owner)));
                if former.is_none_or(|former| former.owner.epoch != found.owner.epoch) {
                    return;
                }
                before = Some((found, version));
            }
            Written::No => return,
        }
    }
}

/// The claim by which this host takes a pool: what the former owner has stored of workers goes on. Workers that it did not
/// know are added by the first write.
fn new_claim(host: &Host, former: Option<&Claim>) -> Claim {
    let heirs = former.map_or_else(Vec::new, |claim| claim.owner.successors.clone());
    let others = heirs
        .into_iter()
        .filter(|heir| heir.host != host.settings.id);
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

/// What became of the write of a claim.
enum Written {
    /// It is there, as of this transaction.
    Yes(u64),
    /// Another is there, of this version.
    Other(Claim, ClaimVersion),
    /// It is not there, as far as can be told.
    No,
}

async fn write(host: &Host, pool: u32, claim: &Claim, version: ClaimVersion) -> Written {
    let (Ok(owner), Ok(roster)) = (claim.put_owner(), claim.put_roster()) else {
        return Written::No;
    };
    let transaction = Transaction {
        part: pool_part(pool),
        checks: version.checks(),
        puts: vec![owner, roster],
        ..Transaction::default()
    };
    match host.store.commit(&transaction).await {
        Ok(version) => Written::Yes(version),
        Err(StoreError::Lost { .. }) => match read_claim(host, pool).await {
            Some((found, version)) if found == *claim => Written::Yes(version.roster),
            _ => Written::No,
        },
        Err(StoreError::Conflict { rows }) => {
            let found = Claim::find(&rows);
            found.map_or(Written::No, |(claim, version)| {
                Written::Other(claim, version)
            })
        }
        Err(_) => Written::No,
    }
}
