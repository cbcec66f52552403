//! One host's part in the choice of a pool's owner: it follows the owner, judges whether that is lost, and takes its place.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::Mechanism;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::grounds::Grounds;
use super::{own, pause, read_claim, wait_turn};
use crate::clock;
use crate::host::Host;
use crate::owner_rows::{self, Known};
use crate::peers::{self, LinkEnd};
use crate::rows::OwnerRow;
use crate::verdict::{Evidence, Verdict};

/// A new owner may be known by its row before it answers for the pool; it has this long.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in which others have to answer whether they hear the owner.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a host that could not tell by the first answers: on a full line they come late.
const WITNESS_TIMEOUT_UNSURE: Duration = Duration::from_millis(1_000);
/// Time between two tries to join an owner that doesn't answer for the pool yet: some ten tries while it begins.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A host that is leaving looks again after this whether others own the pool.
const DRAINING_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time before an owner that others hear is joined again: the way to it may be cut for this host only.
const REJOIN_DELAY: Duration = Duration::from_millis(150);

/// What a host remembers of the owners of one pool, by their epochs.
#[derive(Default)]
pub(super) struct Member {
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
    pub(super) fn gave_up(&self, epoch: u64) -> bool {
        self.urged == Some(epoch) || self.lost == Some(epoch)
    }

    /// Keeps a link to the owner until it ends.
    pub(super) async fn follow(&mut self, host: &Arc<Host>, pool: u32, row: &OwnerRow) -> LinkEnd {
        let ended = peers::join(host, pool, row.address, row.epoch).await;
        match ended {
            LinkEnd::Stopped => {}
            // An owner that was replaced and doesn't know it may urge too: its epoch tells.
            LinkEnd::Take => self.urged = Some(row.epoch),
            LinkEnd::NotOwner { life }
                if (life == row.incarnation || !host.has(Mechanism::Restart))
                    && self.may_begin(row.epoch) =>
            {
                tokio::time::sleep(JOIN_RETRY_DELAY).await;
            }
            LinkEnd::NotOwner { life } => {
                self.lost = Some(row.epoch);
                self.over = (life != row.incarnation).then_some(row.epoch);
                info!(pool = pool, owner = row.host.as_str(), epoch = row.epoch, why = "not the owner", same_life = life == row.incarnation; "lost the owner");
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
    pub(super) async fn stand(
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
        let mut read = pin!(timeout(time / 2, owner_rows::read(host, pool)));
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

/// Asks the owner and its heirs whether it is alive. If one says so, this host is cut off, and the owner is not lost.
async fn ask_others(host: &Host, pool: u32, owner: &OwnerRow, time: Duration) -> Evidence {
    let others = owner
        .successors
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
