//! Which host owns which pool.
//!
//! A host without a link to a pool's owner finds it by its row. If the owner can't be reached, and other hosts don't hear it
//! either ([`crate::verdict`]), the host takes its place by compare-and-set on that row. An owner names its heirs there: hosts
//! near the store, since an owner writes there often, with much of a processor, and without a pool of their own. Nobody has to
//! know all hosts.

use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::Mechanism;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::claim::{Claim, Version};
use crate::clock;
use crate::host::Host;
use crate::outside::{StoreError, Transaction};
use crate::owner::Owner;
use crate::owners::{self, Known};
use crate::peers::{self, LinkEnd};
use crate::plan::Plan;
use crate::post::Post;
use crate::rows::{COMMON, OWNER, OwnerRow, PLAN, ROSTER, RosterRow, pool_part};
use crate::turn::Turn;
use crate::verdict::{Evidence, Verdict};

/// A store that answers within this is in the same region.
pub(crate) const NEAR_MS: u64 = 12;
/// Hosts that aren't heirs and are equally well placed are spread over this time, in milliseconds.
const SPREAD_MS: u64 = 200;
/// At the first start, hosts wait this long for others.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(150);
/// A new owner may be known by its row before it answers for the pool; it has this long.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in which others have to answer whether they hear the owner.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a host that could not tell by the first answers: on a full line they come late.
const WITNESS_TIMEOUT_UNSURE: Duration = Duration::from_millis(1_000);
/// A row that the former owner has changed meanwhile is tried again this often.
const TRIES: usize = 3;
/// After a try to take a pool that failed, the next one comes no sooner.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time between two tries to join an owner that doesn't answer for the pool yet: some ten tries while it begins.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A host that is leaving looks again after this whether others own the pool.
const DRAINING_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time before an owner that others hear is joined again: the way to it may be cut for this host only.
const REJOIN_DELAY: Duration = Duration::from_millis(150);

/// Takes part in the choice of all owners until the host stops.
pub(crate) async fn run(host: &Arc<Host>) {
    let mut tasks = JoinSet::new();
    let part = async {
        read_plan(host).await;
        let mut begun = 0;
        loop {
            let replanned = host.replanned.notified();
            let pools = host.plan().pools();
            for pool in begun..pools {
                let host = Arc::clone(host);
                tasks.spawn(async move { take_part(&host, pool).await });
            }
            begun = pools;
            replanned.await;
        }
    };
    tokio::select! {
        () = part => {}
        () = owners::follow(host) => {}
        () = host.stop.ended() => {}
    }
    tasks.shutdown().await;
}

/// Reads which pools there are. Later changes come with the owners' beats.
async fn read_plan(host: &Host) {
    loop {
        match host.store.get(PLAN, COMMON, PLAN).await {
            Ok(row) => {
                let plan =
                    row.and_then(|row| serde_json::from_slice::<Plan>(row.value.as_deref()?).ok());
                if let Some(plan) = plan {
                    host.put_plan(plan);
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
    let mut rows = host.owners.subscribe(pool);
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

/// What a host remembers of the owners of one pool, by their epochs.
#[derive(Default)]
struct Member {
    /// The one that wants this host to take the pool.
    urged: Option<u64>,
    /// The one that was lost.
    lost: Option<u64>,
    /// The one whose life is over: its host has said so in a new one.
    over: Option<u64>,
    /// The one that did not answer for the pool yet, and since when.
    began: Option<(u64, Instant)>,
    /// The one of which it can't be told yet whether it is lost.
    doubt: Option<Doubt>,
}

/// An owner of which it can't be told whether it is lost.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    epoch: u64,
    since: Instant,
    /// Version of its row, once it could be read.
    version: Option<u64>,
}

impl Member {
    /// Whether the owner with this epoch is no longer followed.
    fn gave_up(&self, epoch: u64) -> bool {
        self.urged == Some(epoch) || self.lost == Some(epoch)
    }

    /// Keeps a link to the owner until it ends.
    async fn follow(&mut self, host: &Arc<Host>, pool: u32, row: &OwnerRow) -> LinkEnd {
        let ended = peers::join(host, pool, row.address, row.epoch).await;
        match ended {
            LinkEnd::Stopped => {}
            // An owner that was replaced and doesn't know it may urge too: its epoch tells.
            LinkEnd::Take => self.urged = Some(row.epoch),
            LinkEnd::NotOwner { life }
                if (life == row.life || !host.has(Mechanism::Restart))
                    && self.may_begin(row.epoch) =>
            {
                tokio::time::sleep(JOIN_RETRY_DELAY).await;
            }
            LinkEnd::NotOwner { life } => {
                self.lost = Some(row.epoch);
                self.over = (life != row.life).then_some(row.epoch);
                info!(pool = pool, owner = row.host.as_str(), epoch = row.epoch, why = "not the owner", same_life = life == row.life; "lost the owner");
            }
            LinkEnd::Lost(loss) => {
                self.lost = Some(row.epoch);
                info!(pool = pool, owner = row.host.as_str(), epoch = row.epoch, why:? = loss; "lost the owner");
            }
        }
        ended
    }

    /// Whether an owner that doesn't answer for the pool may just be beginning.
    fn may_begin(&mut self, epoch: u64) -> bool {
        match self.began {
            Some((of, at)) if of == epoch => at.elapsed() < OWNER_START_TIMEOUT,
            _ => {
                self.began = Some((epoch, Instant::now()));
                true
            }
        }
    }

    /// Takes the place of an owner that is lost or wants that, when it is this host's turn.
    async fn stand(
        &mut self,
        host: &Arc<Host>,
        pool: u32,
        row: &OwnerRow,
        rows: &mut watch::Receiver<Known>,
    ) {
        if host.stop.is_draining() {
            self.follow_again();
            tokio::time::sleep(DRAINING_POLL_INTERVAL).await;
            return;
        }
        let mut grounds = Grounds::Urged;
        if self.urged != Some(row.epoch) {
            // Who stood back has had its turn.
            if self.doubted(row).is_none() && !wait_turn(host, pool, Some(row), rows).await {
                return;
            }
            grounds = self.grounds(host, pool, row).await;
            match grounds.verdict() {
                Verdict::Lost => {}
                Verdict::Alive => {
                    self.follow_again();
                    tokio::time::sleep(REJOIN_DELAY).await;
                    return;
                }
                Verdict::Unsure => {
                    pause(rows).await;
                    return;
                }
            }
        }
        self.urged = None;
        self.follow_again();
        // The owner has written its row since, if only to name other heirs.
        if let Some((claim, version)) = read_claim(host, pool).await
            && claim.owner.epoch == row.epoch
        {
            own(host, pool, Some((claim, version)), grounds).await;
        }
        pause(rows).await;
    }

    /// The owner is to be followed, whoever it is.
    fn follow_again(&mut self) {
        self.lost = None;
        self.doubt = None;
    }

    /// The doubt about this owner, if there is one.
    fn doubted(&self, row: &OwnerRow) -> Option<Doubt> {
        self.doubt.filter(|doubt| doubt.epoch == row.epoch)
    }

    /// Why the owner is or isn't taken for lost.
    async fn grounds(&mut self, host: &Host, pool: u32, row: &OwnerRow) -> Grounds {
        if row.host == host.settings.id {
            return Grounds::EarlierLife;
        }
        if self.over == Some(row.epoch) {
            return Grounds::LifeOver;
        }
        if !host.has(Mechanism::Witnesses) {
            return Grounds::NotAsked;
        }
        let began = clock::now();
        let evidence = self.evidence(host, pool, row).await;
        let tally = &evidence.witnesses;
        info!(
            pool = pool, owner = row.host.as_str(), epoch = row.epoch, verdict:? = evidence.verdict(),
            asked = tally.asked(), hears = tally.hears, does_not_hear = tally.does_not_hear,
            refused = tally.refused, timed_out = tally.timed_out, itself:? = evidence.owner,
            store_answered = evidence.store_answered, rewritten = evidence.rewritten,
            unsure_ms = evidence.unsure_for.as_millis() as u64, ms = clock::now().saturating_sub(began);
            "asked others whether they hear the owner"
        );
        Grounds::Evidence(evidence)
    }

    /// Asks the owner, its heirs and the store, and notes since when that doesn't tell.
    async fn evidence(&mut self, host: &Host, pool: u32, row: &OwnerRow) -> Evidence {
        let doubted = self.doubted(row);
        let time = match doubted {
            Some(_) => WITNESS_TIMEOUT_UNSURE,
            None => WITNESS_TIMEOUT,
        };
        let mut asked = pin!(ask_others(host, pool, row, time));
        let mut read = pin!(timeout(time / 2, owners::read(host, pool)));
        let mut found = None;
        let mut evidence = tokio::select! {
            evidence = &mut asked => evidence,
            read = &mut read => {
                found = read.ok().flatten();
                asked.await
            }
        };
        evidence.store_answered = found.is_some();
        let found = found.and_then(|(found, _)| found);
        let version = found.map(|(_, version)| version);
        if let Some(doubt) = doubted {
            evidence.unsure_for = doubt.since.elapsed();
            evidence.rewritten = doubt.version.is_some() && version > doubt.version;
        }
        if evidence.verdict() == Verdict::Unsure {
            self.doubt = Some(Doubt {
                epoch: row.epoch,
                since: doubted.map_or_else(Instant::now, |doubt| doubt.since),
                version: doubted.and_then(|doubt| doubt.version).or(version),
            });
        }
        evidence
    }
}

/// Why a host takes a pool.
enum Grounds {
    /// The pool has had no owner yet.
    NoOwnerYet,
    /// The owner wants it.
    Urged,
    /// The row names an earlier life of this host.
    EarlierLife,
    /// The owner's host has said that its life is over.
    LifeOver,
    /// The owner is lost to this host, and others are not asked.
    NotAsked,
    /// The owner is lost to this host, and this is what others say.
    Evidence(Evidence),
}

impl Grounds {
    /// What follows from them.
    fn verdict(&self) -> Verdict {
        match self {
            Self::Evidence(evidence) => evidence.verdict(),
            _ => Verdict::Lost,
        }
    }
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoOwnerYet => f.write_str("no owner yet"),
            Self::Urged => f.write_str("urged by the owner"),
            Self::EarlierLife => f.write_str("owned it in an earlier life"),
            Self::LifeOver => f.write_str("the owner's life is over"),
            Self::NotAsked => f.write_str("lost the owner, nobody asked"),
            Self::Evidence(evidence) => write!(f, "lost the owner, {evidence}"),
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
    let heirs = row.map_or(&[][..], |row| &row.heirs);
    let id = &host.settings.id;
    let hash = xxh3_64_with_seed(id.as_bytes(), pool.into());
    let post = Post {
        near: host.away() <= NEAR_MS,
        processors: host.settings.processors,
        line: host.settings.line,
        pools: host.owns() + 1,
    };
    let turn = Turn {
        own: host.has(Mechanism::Restart) && row.is_some_and(|row| row.host == *id),
        place: heirs.iter().position(|heir| heir.host == *id),
        heirs: heirs.len(),
        far: host.away() > NEAR_MS,
        processors: host.settings.processors,
        owns: host.owns(),
        weak: post.wait(host.plan().size(pool)),
        spread: Duration::from_millis(hash % SPREAD_MS),
    };
    timeout(turn.wait(), rows.changed()).await.is_err()
}

/// Asks the owner and its heirs whether it is alive. If one says so, this host is cut off, and the owner is not lost.
async fn ask_others(host: &Host, pool: u32, owner: &OwnerRow, time: Duration) -> Evidence {
    let others = owner
        .heirs
        .iter()
        .filter(|heir| heir.host != host.settings.id);
    let heirs = others.map(|heir| peers::hears(heir.address, pool, time));
    let mut heirs = pin!(futures::future::join_all(heirs));
    let mut itself = pin!(peers::hears(owner.address, pool, time));
    tokio::select! {
        answers = &mut heirs => {
            let evidence = Evidence {
                witnesses: answers.into_iter().collect(),
                ..Evidence::default()
            };
            let all_answered = evidence.witnesses.asked() > 0 && evidence.witnesses.timed_out == 0;
            if all_answered || evidence.verdict() == Verdict::Alive {
                return evidence;
            }
            Evidence { owner: Some(itself.await), ..evidence }
        }
        answer = &mut itself => {
            let evidence = Evidence { owner: Some(answer), ..Evidence::default() };
            if evidence.verdict() != Verdict::Unsure {
                return evidence;
            }
            Evidence { witnesses: heirs.await.into_iter().collect(), ..evidence }
        }
    }
}

/// Reads who owns a pool and which workers it may use; `None` if that can't be read.
async fn read_claim(host: &Host, pool: u32) -> Option<(Claim, Version)> {
    let part = pool_part(pool);
    let (owner, roster) = tokio::join!(
        host.store.list(OWNER, &part),
        host.store.list(ROSTER, &part)
    );
    Claim::find(&[owner.ok()?.rows, roster.ok()?.rows].concat())
}

/// Takes the pool, and owns it until another does or this host leaves.
async fn own(host: &Arc<Host>, pool: u32, mut before: Option<(Claim, Version)>, grounds: Grounds) {
    let began = clock::now();
    for _ in 0..TRIES {
        let former = before.as_ref().map(|(claim, _)| claim);
        let claim = new_claim(host, former);
        let version = before
            .as_ref()
            .map_or_else(Version::default, |(_, version)| *version);
        match write(host, pool, &claim, version).await {
            Written::Yes(version) => {
                let former = before.map(|(claim, _)| claim);
                info!(pool = pool, epoch = claim.owner.epoch, before = former.as_ref().map_or("", |claim| claim.owner.host.as_str()), workers = claim.roster.roster.len(), grounds:% = grounds, ms = clock::now().saturating_sub(began); "took the pool");
                host.owners.note(pool, Some((claim.owner.clone(), version)));
                let roster = former.map_or_else(Vec::new, |claim| claim.roster.roster);
                Owner::run(host, pool, claim, roster, version).await;
                return;
            }
            // Reads may lag behind: the same owner has written its row since it was read.
            Written::Other(found, version) => {
                host.owners
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
    let heirs = former.map_or_else(Vec::new, |claim| claim.owner.heirs.clone());
    let others = heirs
        .into_iter()
        .filter(|heir| heir.host != host.settings.id);
    Claim {
        owner: OwnerRow {
            host: host.settings.id.clone(),
            address: host.settings.address,
            epoch: former.map_or(0, |claim| claim.owner.epoch) + 1,
            life: host.life,
            heirs: others.collect(),
        },
        roster: former.map_or_else(RosterRow::default, |claim| claim.roster.clone()),
    }
}

/// What became of the write of a claim.
enum Written {
    /// It is there, as of this transaction.
    Yes(u64),
    /// Another is there, of this version.
    Other(Claim, Version),
    /// It is not there, as far as can be told.
    No,
}

async fn write(host: &Host, pool: u32, claim: &Claim, version: Version) -> Written {
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
