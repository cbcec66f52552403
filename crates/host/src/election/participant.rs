//! One host's part in the election of a pool's owner: it follows the owner, detects its failure, and replaces it.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::Mechanism;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::takeover_reason::TakeoverReason;
use super::{claim_and_own, read_claim, wait_before_retry, wait_before_takeover};
use crate::clock;
use crate::host::Host;
use crate::owner_rows::{self, KnownRow};
use crate::peers::{self, Handover, LinkEnd};
use crate::rows::OwnerRow;
use crate::verdict::{Evidence, Verdict};

/// The row of a new owner may be known before the owner serves the pool. The owner has this long to start.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(700);
/// Time in which other hosts have to answer whether they receive the owner's heartbeats.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);
/// The same after answers that were not sufficient: on a saturated connection they arrive late.
const WITNESS_TIMEOUT_UNSURE: Duration = Duration::from_millis(1_000);
/// Time between two attempts to connect to an owner that doesn't serve the pool yet: some ten attempts while it starts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// A draining host checks at this interval whether another host owns the pool.
const DRAINING_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before connecting again to an owner that other hosts reach: only this host may be cut off from it.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// What a host knows about recent owners of one pool, which are identified by their epochs.
#[derive(Default)]
pub(super) struct Participant {
    /// The owner that requested that this host take over.
    requested_by: Option<u64>,
    /// The owner that has requested that this host take over, and what it has handed over.
    handover: Option<(u64, Handover)>,
    /// The owner to which the link was lost.
    lost: Option<u64>,
    /// The owner whose process has ended, as a new incarnation of its host has answered.
    restarted: Option<u64>,
    /// The owner that doesn't serve the pool yet, and since when.
    starting: Option<(u64, Instant)>,
    /// The owner of which this host can't tell yet whether it is lost.
    unsure: Option<UnsureOwner>,
}

/// An owner of which this host can't tell yet whether it is lost.
#[derive(Clone, Copy, Debug)]
struct UnsureOwner {
    epoch: u64,
    /// Time of the first [`Verdict::Unsure`] about it.
    since: Instant,
    /// Version of its row when it was first read since then.
    version: Option<u64>,
}

impl Participant {
    /// Whether this host has lost the owner with this epoch, or was requested by it to take over.
    pub(super) fn has_lost(&self, epoch: u64) -> bool {
        self.requested_by == Some(epoch) || self.lost == Some(epoch)
    }

    /// Connects to the owner and keeps the link until it ends.
    /// Returns `false` if this host is stopping.
    pub(super) async fn follow(&mut self, host: &Arc<Host>, pool: u32, row: &OwnerRow) -> bool {
        match peers::join(host, pool, row.address, row.epoch).await {
            LinkEnd::Stopped => return false,
            // An owner that was replaced but doesn't know it may send the request too, hence its epoch is recorded.
            LinkEnd::TakeOver(handover) => {
                self.requested_by = Some(row.epoch);
                self.handover = Some((row.epoch, handover));
            }
            LinkEnd::NotOwner { incarnation }
                if (incarnation == row.incarnation || !host.has(Mechanism::Restart))
                    && self.may_be_starting(row.epoch) =>
            {
                tokio::time::sleep(CONNECT_RETRY_DELAY).await;
            }
            LinkEnd::NotOwner { incarnation } => {
                self.lost = Some(row.epoch);
                self.restarted = (incarnation != row.incarnation).then_some(row.epoch);
                info!(pool = pool, owner = row.host.as_str(), epoch = row.epoch, why = "not the owner", same_life = incarnation == row.incarnation; "link to the pool owner lost");
            }
            LinkEnd::Lost(loss) => {
                self.lost = Some(row.epoch);
                info!(pool = pool, owner = row.host.as_str(), epoch = row.epoch, why:? = loss; "link to the pool owner lost");
            }
        }
        true
    }

    /// Whether an owner that doesn't serve the pool may still be starting.
    fn may_be_starting(&mut self, epoch: u64) -> bool {
        match self.starting {
            Some((known, since)) if known == epoch => since.elapsed() < OWNER_START_TIMEOUT,
            _ => {
                self.starting = Some((epoch, Instant::now()));
                true
            }
        }
    }

    /// Replaces an owner that is lost or has requested it, after this host's takeover delay.
    pub(super) async fn take_over_if_lost(
        &mut self,
        host: &Arc<Host>,
        pool: u32,
        row: &OwnerRow,
        rows: &mut watch::Receiver<KnownRow>,
    ) {
        if host.stop.is_draining() {
            self.follow_again();
            tokio::time::sleep(DRAINING_POLL_INTERVAL).await;
            return;
        }
        let mut reason = TakeoverReason::Requested;
        if self.requested_by != Some(row.epoch) {
            // A host that was unsure about this owner has waited already.
            if self.unsure_about(row).is_none()
                && !wait_before_takeover(host, pool, Some(row), rows).await
            {
                return;
            }
            reason = self.reason(host, pool, row).await;
            match reason.verdict() {
                Verdict::Lost => {}
                Verdict::Alive => {
                    self.follow_again();
                    tokio::time::sleep(RECONNECT_DELAY).await;
                    return;
                }
                Verdict::Unsure => {
                    wait_before_retry(rows).await;
                    return;
                }
            }
        }
        self.requested_by = None;
        self.follow_again();
        // The owner may have written its row since it was read, for example to name other successors.
        if let Some((claim, version)) = read_claim(host, pool).await
            && claim.owner.epoch == row.epoch
        {
            let handover = self.take_handover(row.epoch);
            claim_and_own(host, pool, Some((claim, version)), reason, handover).await;
        }
        wait_before_retry(rows).await;
    }

    /// What the owner with this epoch has handed over.
    fn take_handover(&mut self, epoch: u64) -> Handover {
        let handover = self.handover.take();
        let of_owner = handover.filter(|(by, _)| *by == epoch);
        of_owner.map_or_else(Handover::default, |(_, handover)| handover)
    }

    /// Makes this host connect to the owner again, whichever host that is.
    fn follow_again(&mut self) {
        self.lost = None;
        self.unsure = None;
    }

    /// The record of this owner if there was a [`Verdict::Unsure`] about it.
    fn unsure_about(&self, row: &OwnerRow) -> Option<UnsureOwner> {
        self.unsure.filter(|unsure| unsure.epoch == row.epoch)
    }

    /// Why the owner should be replaced or not.
    async fn reason(&mut self, host: &Host, pool: u32, row: &OwnerRow) -> TakeoverReason {
        if row.host == host.settings.id {
            return TakeoverReason::FormerOwner;
        }
        if self.restarted == Some(row.epoch) {
            return TakeoverReason::OwnerRestarted;
        }
        if !host.has(Mechanism::Witnesses) {
            return TakeoverReason::LinkLost;
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
            "asked witnesses whether they hear the pool owner"
        );
        TakeoverReason::Evidence(evidence)
    }

    /// Asks the owner, its successors and the store, and records the owner if the evidence isn't sufficient.
    async fn evidence(&mut self, host: &Host, pool: u32, row: &OwnerRow) -> Evidence {
        let unsure = self.unsure_about(row);
        let limit = match unsure {
            Some(_) => WITNESS_TIMEOUT_UNSURE,
            None => WITNESS_TIMEOUT,
        };
        let mut asking = pin!(ask_hosts(host, pool, row, limit));
        let mut read = pin!(timeout(limit / 2, owner_rows::read(host, pool)));
        let mut found = None;
        let mut evidence = tokio::select! {
            evidence = &mut asking => evidence,
            read = &mut read => {
                found = read.ok().flatten();
                asking.await
            }
        };
        evidence.store_answered = found.is_some();
        let found = found.and_then(|(found, _)| found);
        let version = found.map(|(_, version)| version);
        if let Some(unsure) = unsure {
            evidence.unsure_for = unsure.since.elapsed();
            evidence.rewritten = unsure.version.is_some() && version > unsure.version;
        }
        if evidence.verdict() == Verdict::Unsure {
            self.unsure = Some(UnsureOwner {
                epoch: row.epoch,
                since: unsure.map_or_else(Instant::now, |unsure| unsure.since),
                version: unsure.and_then(|unsure| unsure.version).or(version),
            });
        }
        evidence
    }
}

/// Asks the owner and its successors whether the owner works. If one of them confirms it, only this host is cut off.
async fn ask_hosts(host: &Host, pool: u32, owner: &OwnerRow, limit: Duration) -> Evidence {
    let others = owner
        .successors
        .iter()
        .filter(|it| it.host != host.settings.id);
    let witnesses = others.map(|it| peers::ask_if_owner_reachable(it.address, pool, limit));
    let mut witnesses = pin!(futures::future::join_all(witnesses));
    let mut itself = pin!(peers::ask_if_owner_reachable(owner.address, pool, limit));
    tokio::select! {
        answers = &mut witnesses => {
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
            Evidence { witnesses: witnesses.await.into_iter().collect(), ..evidence }
        }
    }
}
