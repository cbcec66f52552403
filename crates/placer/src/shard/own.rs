//! Takes a rack, keeps it, lets go of it.

use std::sync::Arc;
use std::time::Duration;

use cell::fence::{Roster, Takeover};
use cell::{Event, JobScheduler, Rack, Record, SavedJob, Stage};
use platform::{Error, Transaction};

use super::Shard;
use crate::Node;

/// How often a rack on its way to being owned is looked at.
const STEP: Duration = Duration::from_millis(50);
/// How often an owned rack is looked after; nothing there is urgent.
const KEEP: Duration = Duration::from_millis(500);
/// A list that differs from the roster for this long is followed.
const DRIFT: Duration = Duration::from_secs(5);
/// A worker that the platform has not listed for this long exists no more.
const GONE: Duration = Duration::from_secs(15);

/// Carries out the stages of ownership until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    while shard.until_wanted(&node).await {
        let step = if shard.stage() == Stage::Active {
            KEEP
        } else {
            STEP
        };
        tokio::select! {
            () = tokio::time::sleep(step) => {}
            () = shard.stage_now.notified() => {}
            () = node.stop.ended() => return,
        }
        match shard.stage() {
            Stage::Watching => {}
            Stage::Greeting => shard.greet(&node).await,
            Stage::Taking => shard.take(&node).await,
            Stage::Fencing => shard.fence(&node).await,
            Stage::Active => shard.keep(&node).await,
            Stage::Releasing => shard.release(&node).await,
        }
    }
}

impl Shard {
    /// Asks the table for the rack.
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
        let written = self.write(node, &key, version, &next).await;
        let Some(version) = written else {
            self.handle(&Event::Refused);
            return;
        };
        log::info!(rack = self.name.as_str(), epoch = next.epoch; "taken");
        metrics::counter!("lentilyoke_taken_total").increment(1);
        self.taken(node, version, &record, next);
        node.doubt(std::slice::from_ref(&self.name));
    }

    fn taken(&self, node: &Node, version: u64, before: &Record, next: Record) {
        let mut state = self.state();
        let epoch = next.epoch;
        let roster = next.rosters.last().cloned().unwrap_or_default();
        let same = before.owner.as_ref() == Some(&node.options.name);
        let settings = state.settings.clone();
        match &mut state.rack {
            Some(rack) if same && rack.epoch() == before.epoch => rack.reacquire(epoch, roster),
            _ => state.rack = Some(Rack::new(&self.name, epoch, roster, settings)),
        }
        // An order from the former owner of a home rack may be under way to here. The rows that
        // were read when this rack was taken tell who is its present owner.
        let records = node.view().records.clone();
        if let Some(rack) = &mut state.rack {
            for (home, (_, record)) in records {
                rack.reject_older_owners(&home, record.epoch);
            }
        }
        state.takeover = Takeover::new(before.rosters.clone());
        state.record = Some((version, next));
        state.drift = None;
        state.ownership.handle(&Event::Taken(epoch));
        drop(state);
        self.stage_now.notify_one();
    }

    /// Writes the rack's row; tells its version if it stands there.
    async fn write(&self, node: &Node, key: &str, version: u64, next: &Record) -> Option<u64> {
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
                node.view().row(&row, node.now());
                Some(version)
            }
            Err(Error::Conflict { rows }) => {
                rows.iter()
                    .for_each(|row| drop(node.view().row(row, node.now())));
                None
            }
            // It may stand there all the same. Epoch, name and address make it unlike any other.
            Err(Error::Lost { .. }) => {
                let rows = node.table.scan(&[key], 0).await.ok()?.rows;
                let row = rows.into_iter().find(|row| row.key == key)?;
                node.view().row(&row, node.now());
                (row.value.as_ref() == Some(&value)).then_some(row.version)
            }
            Err(Error::Down { .. }) => None,
        }
    }

    /// Adopts the workers; becomes active when no earlier owner can act any more.
    async fn fence(self: &Arc<Self>, node: &Arc<Node>) {
        self.refresh_list(node).await;
        self.adopt_all(node).await;
        if !self.state().activate(node.now()) {
            return;
        }
        log::info!(rack = self.name.as_str(), epoch = self.epoch(); "active");
        self.open_desk(node).await;
        self.dispatch(node.now());
    }

    /// Looks after a rack that is owned.
    async fn keep(self: &Arc<Self>, node: &Arc<Node>) {
        self.refresh_list(node).await;
        self.adopt_all(node).await;
        if self.state().desk.is_none() {
            self.open_desk(node).await;
        }
        self.settle(node).await;
        let now = node.now();
        let mut state = self.state();
        state.memory.tick(now);
        if state.drifted(now) && node.view().is_reachable() {
            state.drift = None;
            state.ownership.handle(&Event::Assigned);
        }
    }

    /// Writes that earlier rosters count no more.
    async fn settle(&self, node: &Node) {
        let record = self.state().record.clone();
        let Some((version, record)) = record.filter(|(_, r)| r.rosters.len() > 1) else {
            return;
        };
        let next = record.without_earlier_rosters();
        if let Some(version) = self
            .write(node, &Record::key(&self.name), version, &next)
            .await
        {
            let mut state = self.state();
            if state.ownership.epoch() == next.epoch {
                state.record = Some((version, next));
            }
        }
    }

    /// Reads the jobs at home here.
    async fn open_desk(&self, node: &Node) {
        let Some(applied) = node.applied() else {
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
                    log::warn!(rack = self.name.as_str(); "jobs were not read: {error}");
                    return;
                }
            }
        };
        let saved = saved.into_iter().filter_map(|row| row.value);
        let saved: Vec<SavedJob> = saved
            .filter_map(|v| serde_json::from_str(&v).ok())
            .collect();
        let mut state = self.state();
        if state.desk.is_some() || state.ownership.stage() != Stage::Active {
            return;
        }
        let mut desk = JobScheduler::new(self.name.clone(), state.ownership.epoch());
        if !saved.is_empty() {
            desk.recover(saved, cell, node.now());
        }
        state.desk = Some(desk);
    }

    /// Lets go of the rack once no quick request is in hand.
    async fn release(&self, node: &Node) {
        let (busy, record) = {
            let mut state = self.state();
            let busy = state.rack.as_ref().is_some_and(Rack::has_quick_requests);
            state.desk = None;
            (busy, state.record.clone())
        };
        if busy {
            return;
        }
        if let Some((version, record)) = record {
            let key = Record::key(&self.name);
            if self
                .write(node, &key, version, &record.released())
                .await
                .is_none()
            {
                // The row could not be written; another placer takes the rack when this one's
                // session has ended.
                if !node.stop.is_draining() {
                    return;
                }
            }
        }
        log::info!(rack = self.name.as_str(); "released");
        let mut state = self.state();
        state.ownership.handle(&Event::Released);
        state.drop_rack();
    }
}

impl super::State {
    /// Begins to act, if this owner is proved and no earlier one can act any more.
    fn activate(&mut self, now: cell::Now) -> bool {
        self.bury_gone(now);
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

    /// Whether the list has differed from the roster for long enough to follow it.
    fn drifted(&mut self, now: cell::Now) -> bool {
        let listed: Roster = self.listed.keys().cloned().collect();
        let differs = self
            .rack
            .as_ref()
            .is_some_and(|rack| *rack.roster() != listed);
        if !differs || listed.is_empty() {
            self.drift = None;
        } else if self.drift.is_none() {
            self.drift = Some(now);
        }
        self.drift.is_some_and(|since| now >= since + DRIFT)
    }

    /// Workers that the platform has not listed for long count as fenced.
    fn bury_gone(&mut self, now: cell::Now) {
        let Some((_, record)) = &self.record else {
            return;
        };
        let expected: Roster = record.rosters.iter().flatten().cloned().collect();
        self.missing
            .retain(|worker, _| !self.listed.contains_key(worker));
        for worker in expected {
            if self.listed.contains_key(&worker) {
                continue;
            }
            let since = *self.missing.entry(worker.clone()).or_insert(now);
            if now >= since + GONE {
                self.takeover.fence(&worker, now);
            }
        }
    }
}
