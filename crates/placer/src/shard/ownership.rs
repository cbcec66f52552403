//! Acquires, maintains and releases the ownership of a rack.

use std::sync::Arc;
use std::time::Duration;

use cell::fence::{Roster, Takeover};
use cell::{Event, JobScheduler, Rack, Record, SavedJob, Stage};
use platform::{Error, Transaction};

use super::Shard;
use crate::Node;

/// Interval of the ownership loop while the rack is being acquired or released.
const TRANSITION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the ownership loop while the rack is active; nothing there is urgent.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The roster is replaced once the host list has differed from it for this long.
const ROSTER_CHANGE_DELAY: Duration = Duration::from_secs(5);
/// A worker that the platform has not listed for this long counts as removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(15);

/// Executes the stages of ownership until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    while shard.wait_while_watching(&node).await {
        let interval = if shard.stage() == Stage::Active {
            ACTIVE_INTERVAL
        } else {
            TRANSITION_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = shard.stage_changed.notified() => {}
            () = node.shutdown.ended() => return,
        }
        match shard.stage() {
            Stage::Watching => {}
            Stage::Greeting => shard.greet(&node).await,
            Stage::Taking => shard.take(&node).await,
            Stage::Fencing => shard.fence(&node).await,
            Stage::Active => shard.maintain(&node).await,
            Stage::Releasing => shard.release(&node).await,
        }
    }
}

impl Shard {
    /// Tries to write the rack's record with this placer as its owner.
    async fn take(self: &Arc<Self>, node: &Node) {
        let key = Record::key(&self.name);
        let (version, record) = node
            .view()
            .records
            .get(&self.name)
            .cloned()
            .unwrap_or_default();
        let roster: Roster = self.state().listed.keys().cloned().collect();
        let next = record.acquired_by(&node.options.name, &node.options.address, roster);
        let written = self.write_record(node, &key, version, &next).await;
        let Some(version) = written else {
            self.handle(&Event::Refused);
            return;
        };
        log::info!(rack = self.name.as_str(), epoch = next.epoch; "rack ownership acquired");
        metrics::counter!("lentilyoke_taken_total").increment(1);
        self.install_rack(node, version, &record, next);
        node.mark_unconfirmed(std::slice::from_ref(&self.name));
    }

    fn install_rack(&self, node: &Node, version: u64, before: &Record, next: Record) {
        let mut state = self.state();
        let epoch = next.epoch;
        let roster = next.rosters.last().cloned().unwrap_or_default();
        let same = before.owner.as_ref() == Some(&node.options.name);
        let settings = state.settings.clone();
        match &mut state.rack {
            Some(rack) if same && rack.epoch() == before.epoch => rack.reacquire(epoch, roster),
            _ => state.rack = Some(Rack::new(&self.name, epoch, roster, settings)),
        }
        // A place request from a former owner of a home rack may still be in transit to this rack.
        // The records that were read before the rack was taken give the home racks' present epochs;
        // messages with lower ones are rejected.
        let records = node.view().records.clone();
        if let Some(rack) = &mut state.rack {
            for (home, (_, record)) in records {
                rack.reject_older_owners(&home, record.epoch);
            }
        }
        state.takeover = Takeover::new(before.rosters.clone());
        state.record = Some((version, next));
        state.roster_mismatch_since = None;
        state.ownership.handle(&Event::Taken(epoch));
        drop(state);
        self.stage_changed.notify_one();
    }

    /// Writes the rack's record; returns its row version if it was written.
    async fn write_record(
        &self,
        node: &Node,
        key: &str,
        version: u64,
        next: &Record,
    ) -> Option<u64> {
        let value = serde_json::to_string(next).ok()?;
        let transaction = Transaction::default()
            .check(key, version)
            .put(key, value.clone());
        match node.table.commit(transaction).await {
            Ok(version) => {
                let row = platform::Row {
                    key: key.to_owned(),
                    version,
                    value: Some(value),
                };
                node.view().apply_row(&row, node.now());
                Some(version)
            }
            Err(Error::Conflict { rows }) => {
                rows.iter()
                    .for_each(|row| drop(node.view().apply_row(row, node.now())));
                None
            }
            // The row may have been written all the same. Epoch, name and address make it
            // distinguishable from the row of any other writer.
            Err(Error::Lost { .. }) => {
                let rows = node.table.scan(&[key], 0).await.ok()?.rows;
                let row = rows.into_iter().find(|row| row.key == key)?;
                node.view().apply_row(&row, node.now());
                (row.value.as_ref() == Some(&value)).then_some(row.version)
            }
            Err(Error::Down { .. }) => None,
        }
    }

    /// Adopts the workers; becomes active once no earlier owner can act.
    async fn fence(self: &Arc<Self>, node: &Arc<Node>) {
        self.refresh_list(node).await;
        self.adopt_all(node).await;
        if !self.state().try_activate(node.now()) {
            return;
        }
        log::info!(rack = self.name.as_str(), epoch = self.epoch(); "active");
        self.start_scheduler(node).await;
        self.dispatch(node.now());
    }

    /// Periodic work on a rack whose active owner this placer is.
    async fn maintain(self: &Arc<Self>, node: &Arc<Node>) {
        self.refresh_list(node).await;
        self.adopt_all(node).await;
        if self.state().scheduler.is_none() {
            self.start_scheduler(node).await;
        }
        self.write_settled_record(node).await;
        let now = node.now();
        let mut state = self.state();
        state.requests.evict_expired(now);
        if state.roster_change_due(now) && node.view().is_reachable() {
            state.roster_mismatch_since = None;
            state.ownership.handle(&Event::Assigned);
        }
    }

    /// Removes the rosters of earlier owners from the rack's record.
    async fn write_settled_record(&self, node: &Node) {
        let record = self.state().record.clone();
        let Some((version, record)) = record.filter(|(_, r)| r.rosters.len() > 1) else {
            return;
        };
        let next = record.without_earlier_rosters();
        if let Some(version) = self
            .write_record(node, &Record::key(&self.name), version, &next)
            .await
        {
            let mut state = self.state();
            if state.ownership.epoch() == next.epoch {
                state.record = Some((version, next));
            }
        }
    }

    /// Reads the jobs whose home is this rack and starts the scheduler that manages them.
    async fn start_scheduler(&self, node: &Node) {
        let Some(applied) = node.active_config() else {
            return;
        };
        let cell = &applied.cell;
        let here = |(name, team): (&String, &config::Team)| {
            let home = config::home::team(cell, name, team)?;
            (home == self.name).then(|| SavedJob::key(name, ""))
        };
        let prefixes: Vec<String> = cell.teams.iter().filter_map(here).collect();
        let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
        let saved = if prefixes.is_empty() {
            Vec::new()
        } else {
            match node.table.scan(&prefixes, 0).await {
                Ok(scan) => scan.rows,
                Err(error) => {
                    log::warn!(rack = self.name.as_str(); "reading the jobs failed: {error}");
                    return;
                }
            }
        };
        let saved = saved.into_iter().filter_map(|row| row.value);
        let saved: Vec<SavedJob> = saved
            .filter_map(|v| serde_json::from_str(&v).ok())
            .collect();
        let mut state = self.state();
        if state.scheduler.is_some() || state.ownership.stage() != Stage::Active {
            return;
        }
        let mut scheduler = JobScheduler::new(self.name.clone(), state.ownership.epoch());
        if !saved.is_empty() {
            scheduler.recover(saved, cell, node.now());
        }
        state.scheduler = Some(scheduler);
    }

    /// Releases the rack once no quick request and no call about a job is in progress.
    async fn release(&self, node: &Node) {
        if !self.job_calls.is_empty() {
            return;
        }
        let (busy, record) = {
            let mut state = self.state();
            let busy = state.rack.as_ref().is_some_and(Rack::has_quick_requests);
            state.scheduler = None;
            (busy, state.record.clone())
        };
        if busy {
            return;
        }
        if let Some((version, record)) = record {
            let key = Record::key(&self.name);
            if self
                .write_record(node, &key, version, &record.released())
                .await
                .is_none()
            {
                // The record could not be written. If this placer is stopping, another one takes
                // the rack when its session has ended.
                if !node.shutdown.is_draining() {
                    return;
                }
            }
        }
        log::info!(rack = self.name.as_str(); "rack ownership released");
        let mut state = self.state();
        state.ownership.handle(&Event::Released);
        state.drop_rack();
    }
}

impl super::State {
    /// Becomes active if a majority of the workers confirms this owner and no earlier one can act.
    fn try_activate(&mut self, now: cell::Now) -> bool {
        self.fence_removed_workers(now);
        let ready = self.takeover.ready(now) && self.ownership.stage() == Stage::Fencing;
        let Some(rack) = self
            .rack
            .as_mut()
            .filter(|rack| ready && rack.has_authority(now))
        else {
            return false;
        };
        rack.activate();
        self.ownership.handle(&Event::Ready);
        true
    }

    /// Whether the host list has differed from the roster for [`ROSTER_CHANGE_DELAY`].
    fn roster_change_due(&mut self, now: cell::Now) -> bool {
        let listed: Roster = self.listed.keys().cloned().collect();
        let differs = self
            .rack
            .as_ref()
            .is_some_and(|rack| *rack.roster() != listed);
        if !differs || listed.is_empty() {
            self.roster_mismatch_since = None;
        } else if self.roster_mismatch_since.is_none() {
            self.roster_mismatch_since = Some(now);
        }
        self.roster_mismatch_since
            .is_some_and(|since| now >= since + ROSTER_CHANGE_DELAY)
    }

    /// Counts workers that the platform has not listed for [`REMOVAL_DELAY`] as fenced.
    fn fence_removed_workers(&mut self, now: cell::Now) {
        let Some((_, record)) = &self.record else {
            return;
        };
        let expected: Roster = record.rosters.iter().flatten().cloned().collect();
        self.unlisted_since
            .retain(|worker, _| !self.listed.contains_key(worker));
        for worker in expected {
            if self.listed.contains_key(&worker) {
                continue;
            }
            let since = *self.unlisted_since.entry(worker.clone()).or_insert(now);
            if now >= since + REMOVAL_DELAY {
                self.takeover.fence(&worker, now);
            }
        }
    }
}
