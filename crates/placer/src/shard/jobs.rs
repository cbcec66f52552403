//! Places tasks on the rack, and looks after the jobs that are at home in it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cell::{Desk, Plan, Saved, Stage};
use futures::future::join_all;
use platform::{Error, Transaction};
use resource::id;
use wire::{Event, Fault, Gang, Job, Kind, Order, Placed, Placement, Seniority, State};

use super::Shard;
use crate::Node;
use crate::node::lock;

/// How often jobs are looked at when nothing happens.
const STEP: Duration = Duration::from_millis(400);
/// Shortest time between two rounds of placing, so that what comes together is placed together.
const ROUND: Duration = Duration::from_millis(5);
/// An order that is not answered by then is in doubt.
const ANSWER: Duration = Duration::from_millis(800);
/// Rows of jobs that are written together, at most.
const ROWS: usize = 128;
/// How often rows of jobs are written.
const SAVE_EVERY: Duration = Duration::from_millis(500);
/// Jobs that are over and still remembered.
const KEEP_OVER: usize = 1_000;

/// Looks after jobs until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    let mut saved_at = Duration::ZERO;
    while shard.until_wanted(&node).await {
        tokio::select! {
            () = tokio::time::sleep(STEP) => {}
            () = shard.jobs_now.notified() => {}
            () = node.stop.ended() => return,
        }
        shard.tell_news(&node).await;
        if shard.state().desk.is_none() {
            tokio::time::sleep(ROUND).await;
            continue;
        }
        shard.place_waiting(&node).await;
        let now = node.now();
        if now >= saved_at + SAVE_EVERY {
            saved_at = now;
            shard.settle_doubts(&node).await;
            shard.stop_leftovers(&node).await;
            shard.save(&node).await;
        }
        tokio::time::sleep(ROUND).await;
    }
}

impl Shard {
    /// Places the tasks of an order on this rack.
    pub(crate) fn place(self: &Arc<Self>, node: &Arc<Node>, order: &Order) -> Placed {
        let now = node.now();
        let mut state = self.state();
        let active = state.ownership.stage() == Stage::Active;
        let Some(rack) = state.rack.as_mut().filter(|_| active) else {
            let placements = vec![Placement::NotOwner; order.tasks.len()];
            return Placed {
                placements,
                digest: None,
            };
        };
        let (placed, commands) = rack.place(order, now);
        drop(state);
        self.carry_out(node, commands);
        placed
    }

    /// Starts a gang that is held on this rack.
    pub(crate) fn commit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &Seniority,
        gang: &Gang,
    ) -> bool {
        let now = node.now();
        let mut state = self.state();
        let Some(rack) = &mut state.rack else {
            return false;
        };
        if !rack.hear(from) {
            return false;
        }
        let Some(commands) = rack.commit(gang, now) else {
            return false;
        };
        drop(state);
        self.carry_out(node, commands);
        true
    }

    /// Gives up a gang on this rack.
    pub(crate) fn undo(self: &Arc<Self>, node: &Arc<Node>, from: &Seniority, gang: &Gang) -> bool {
        self.give_up(node, from, |rack, now| rack.undo(gang, now))
    }

    /// Stops all tasks of a job on this rack.
    pub(crate) fn stop(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &Seniority,
        team: &str,
        job: &str,
    ) -> bool {
        self.give_up(node, from, |rack, now| rack.stop(team, job, now))
    }

    fn give_up(
        self: &Arc<Self>,
        node: &Arc<Node>,
        from: &Seniority,
        stop: impl FnOnce(&mut cell::Rack, cell::Now) -> Vec<cell::Command>,
    ) -> bool {
        let now = node.now();
        let mut state = self.state();
        let Some(rack) = &mut state.rack else {
            return false;
        };
        if !rack.hear(from) {
            return false;
        }
        let commands = stop(rack, now);
        drop(state);
        self.carry_out(node, commands);
        true
    }

    /// Takes note of what became of tasks of jobs at home here; `false` if they are not.
    pub(crate) fn hear(&self, events: &[Event]) -> bool {
        let heard = self.with_desk(|desk| events.iter().for_each(|event| desk.event(event)));
        if heard.is_some() {
            self.jobs_now.notify_one();
        }
        heard.is_some()
    }

    /// Takes a job, once its row is written.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        job: Job,
    ) -> Result<State, Fault> {
        let Some(applied) = node.applied() else {
            return Err(Fault::new(Kind::NoOwner, "no configuration yet"));
        };
        Desk::admit(&job, &applied.cell)?;
        let known = self.with_desk(|desk| desk.find(&job));
        match known {
            None => return Err(not_at_home()),
            Some(Ok(Some(state))) => return Ok(state),
            Some(Err(fault)) => return Err(fault),
            Some(Ok(None)) => {}
        }
        self.record_job(node, &job).await?;
        let state = self
            .with_desk(|desk| desk.submit(job))
            .ok_or_else(not_at_home)?;
        self.jobs_now.notify_one();
        Ok(state)
    }

    /// Writes the row of a new job. The rack's row is checked as well: a deposed owner must not
    /// say that it took a job which the new owner has not seen.
    async fn record_job(self: &Arc<Self>, node: &Arc<Node>, job: &Job) -> Result<(), Fault> {
        let key = Saved::key(&job.team, &job.id);
        let value = serde_json::to_string(&Saved::new(job.clone()))
            .map_err(|e| Fault::new(Kind::BadInput, e.to_string()))?;
        let Some((version, _)) = self.state().record.clone() else {
            return Err(not_at_home());
        };
        let transaction = Transaction::default()
            .check(cell::Record::key(&self.name), version)
            .check(&key, 0)
            .put(&key, value.clone());
        match node.table.commit(transaction).await {
            Ok(_) => Ok(()),
            Err(Error::Conflict { rows }) if rows.iter().any(|row| row.key == key) => {
                let same = rows
                    .iter()
                    .any(|r| r.key == key && r.value.as_ref() == Some(&value));
                if same {
                    Ok(())
                } else {
                    Err(Fault::new(Kind::Conflict, "this id is taken"))
                }
            }
            Err(Error::Conflict { .. }) => Err(not_at_home()),
            Err(Error::Down { reason }) => Err(Fault::new(Kind::StoreDown, reason)),
            Err(Error::Lost { .. }) => self.find_row(node, job, &key, &value).await,
        }
    }

    /// The answer to a new job's row was lost: reads whether it stands there. If that can't be
    /// told, the job may be taken, and this owner goes on asking so that it won't lie idle.
    async fn find_row(
        self: &Arc<Self>,
        node: &Arc<Node>,
        job: &Job,
        key: &str,
        value: &str,
    ) -> Result<(), Fault> {
        match read_row(node, key).await {
            Ok(Some(found)) if found == value => Ok(()),
            Ok(_) => Err(Fault::new(Kind::StoreDown, "the row was not written")),
            Err(_) => {
                let (shard, node) = (Arc::clone(self), Arc::clone(node));
                let (job, key) = (job.clone(), key.to_owned());
                node.stop
                    .clone()
                    .spawn(async move { shard.find_later(&node, job, &key).await });
                let reason = "the table took it or not; ask again with the same id";
                Err(Fault::new(Kind::Lost, reason))
            }
        }
    }

    async fn find_later(&self, node: &Node, job: Job, key: &str) {
        while node.stop.sleep(SAVE_EVERY).await && self.state().desk.is_some() {
            match read_row(node, key).await {
                Ok(Some(_)) => {
                    self.with_desk(|desk| desk.submit(job));
                    self.jobs_now.notify_one();
                    return;
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Where a job stands.
    pub(crate) fn watch(&self, team: &str, job: &str) -> Result<State, Fault> {
        let state = self
            .with_desk(|desk| desk.state(team, job))
            .ok_or_else(not_at_home)?;
        state.ok_or_else(|| Fault::new(Kind::UnknownJob, "there is no such job"))
    }

    /// Withdraws a job. Nothing more of it starts from now on; the answer is given once the row
    /// says so as well, since a later owner goes by the row.
    pub(crate) async fn cancel(
        self: &Arc<Self>,
        node: &Arc<Node>,
        team: &str,
        job: &str,
    ) -> Result<State, Fault> {
        let cancelled = self
            .with_desk(|desk| desk.cancel(team, job))
            .ok_or_else(not_at_home)?;
        let Some((state, _)) = cancelled else {
            return Err(Fault::new(Kind::UnknownJob, "there is no such job"));
        };
        self.jobs_now.notify_one();
        self.stop_leftovers(node).await;
        if self.save(node).await {
            return Ok(state);
        }
        let reason = "it is being stopped, but the table did not take the note; ask again";
        Err(Fault::new(Kind::StoreDown, reason))
    }

    /// Tells the owners of home racks what became of their tasks.
    async fn tell_news(self: &Arc<Self>, node: &Arc<Node>) {
        let mut by_home: BTreeMap<id::Rack, Vec<Event>> = BTreeMap::new();
        if let Some(rack) = &self.state().rack {
            for (home, event) in rack.news() {
                by_home.entry(home.clone()).or_default().push(event.clone());
            }
        }
        let told = by_home.into_iter().map(|(home, events)| async move {
            let heard = self.tell(node, &home, events.clone()).await;
            heard.then_some((home, events))
        });
        for (home, events) in join_all(told).await.into_iter().flatten() {
            if let Some(rack) = &mut self.state().rack {
                rack.confirmed(&home, &events);
            }
        }
    }

    async fn tell(&self, node: &Arc<Node>, home: &str, events: Vec<Event>) -> bool {
        let Some(address) = node.owner(home) else {
            return false;
        };
        if address == node.options.address {
            return node.shard(home).is_some_and(|shard| shard.hear(&events));
        }
        let told = node.peers.report(&address, home.to_owned(), events);
        tokio::time::timeout(ANSWER, told)
            .await
            .is_ok_and(|heard| heard == Ok(true))
    }

    async fn place_waiting(self: &Arc<Self>, node: &Arc<Node>) {
        let Some(applied) = node.applied() else {
            return;
        };
        for digest in node.own_digests() {
            lock(&node.digests).learn(&digest);
        }
        let plans = {
            let mut state = self.state();
            let Some(desk) = &mut state.desk else {
                return;
            };
            desk.plan(&applied.cell, &mut lock(&node.digests))
        };
        let (gangs, orders): (Vec<Plan>, Vec<Plan>) = plans
            .into_iter()
            .partition(|plan| matches!(plan, Plan::Gang { .. }));
        let started = orders.into_iter().filter_map(|plan| match plan {
            Plan::Start(order) => Some(self.order(node, order)),
            Plan::Gang { .. } => None,
        });
        join_all(started).await;
        for plan in gangs {
            if let Plan::Gang { gang, orders } = plan {
                self.start_gang(node, &gang, orders).await;
            }
        }
    }

    /// Sends an order to the owner of its rack; `true` if every task was placed.
    async fn order(self: &Arc<Self>, node: &Arc<Node>, order: Order) -> bool {
        let placed = match node.owner(&order.rack) {
            None => {
                let placements = vec![Placement::NotOwner; order.tasks.len()];
                Some(Placed {
                    placements,
                    digest: None,
                })
            }
            Some(address) if address == node.options.address => node
                .shard(&order.rack)
                .map(|shard| shard.place(node, &order)),
            Some(address) => {
                let asked = node.peers.place(&address, order.clone());
                tokio::time::timeout(ANSWER, asked)
                    .await
                    .ok()
                    .and_then(Result::ok)
            }
        };
        let Some(placed) = placed else {
            self.with_desk(|desk| desk.doubt(&order.rack, node.now()));
            return false;
        };
        match &placed.digest {
            Some(digest) => lock(&node.digests).learn(digest),
            None => lock(&node.digests).forget(&order.rack),
        }
        metrics::counter!("lentilyoke_placements_total").increment(
            placed
                .placements
                .iter()
                .filter(|p| **p == Placement::Placed)
                .count() as u64,
        );
        self.with_desk(|desk| desk.placed(&order, &placed));
        placed.placements.iter().all(|p| *p == Placement::Placed)
    }

    /// Holds room on all racks of a gang, then starts it; or lets go of everything.
    async fn start_gang(self: &Arc<Self>, node: &Arc<Node>, gang: &Gang, orders: Vec<Order>) {
        let mut held = Vec::new();
        for order in &orders {
            held.push(order.rack.clone());
            if !self.order(node, order.clone()).await {
                self.undo_gang(node, gang, &held).await;
                self.return_gang(&orders);
                return;
            }
        }
        for rack in &held {
            if !self.commit_on(node, rack, gang).await {
                self.undo_gang(node, gang, &held).await;
                self.with_desk(|desk| held.iter().for_each(|r| desk.doubt(r, node.now())));
                return;
            }
        }
    }

    /// Members on racks that were not asked any more wait again.
    fn return_gang(&self, orders: &[Order]) {
        for order in orders {
            let placements = vec![Placement::Full; order.tasks.len()];
            let full = Placed {
                placements,
                digest: None,
            };
            self.with_desk(|desk| desk.placed(order, &full));
        }
    }

    async fn commit_on(self: &Arc<Self>, node: &Arc<Node>, rack: &str, gang: &Gang) -> bool {
        let Some(from) = self.with_desk(Desk::next_serial) else {
            return false;
        };
        let Some(address) = node.owner(rack) else {
            return false;
        };
        if address == node.options.address {
            return node
                .shard(rack)
                .is_some_and(|shard| shard.commit(node, &from, gang));
        }
        let asked = node
            .peers
            .commit(&address, rack.to_owned(), from, gang.clone());
        tokio::time::timeout(ANSWER, asked)
            .await
            .is_ok_and(|done| done == Ok(true))
    }

    async fn undo_gang(self: &Arc<Self>, node: &Arc<Node>, gang: &Gang, racks: &[id::Rack]) {
        for rack in racks {
            let Some(from) = self.with_desk(Desk::next_serial) else {
                return;
            };
            let Some(address) = node.owner(rack) else {
                continue;
            };
            if address == node.options.address {
                node.shard(rack).map(|shard| shard.undo(node, &from, gang));
            } else {
                let asked = node.peers.undo(&address, rack.clone(), from, gang.clone());
                drop(tokio::time::timeout(ANSWER, asked).await);
            }
        }
    }

    /// Asks all placers what their racks hold, if some of it is not known.
    async fn settle_doubts(self: &Arc<Self>, node: &Arc<Node>) {
        let now = node.now();
        if self.with_desk(|desk| desk.doubtful(now)) != Some(true) {
            return;
        }
        let Some(from) = self.with_desk(Desk::next_serial) else {
            return;
        };
        let own = node.inventory(&from);
        let others = node
            .everyone()
            .into_iter()
            .filter(|a| *a != node.options.address);
        let asked = others.map(|address| {
            let from = from.clone();
            async move {
                let asked = node.peers.inventory(&address, from);
                tokio::time::timeout(ANSWER, asked)
                    .await
                    .ok()
                    .and_then(Result::ok)
            }
        });
        let others = join_all(asked).await.into_iter().flatten().flatten();
        for inventory in own.into_iter().chain(others) {
            self.with_desk(|desk| desk.counted(&inventory));
        }
        self.jobs_now.notify_one();
    }

    /// Stops what still runs of jobs that are over, and the rest of broken gangs.
    async fn stop_leftovers(self: &Arc<Self>, node: &Arc<Node>) {
        let broken = self.with_desk(Desk::broken_gangs).unwrap_or_default();
        for (gang, racks) in broken {
            self.undo_gang(node, &gang, &racks).await;
        }
        let leftovers: BTreeSet<_> = self
            .with_desk(|desk| desk.leftovers())
            .unwrap_or_default()
            .into_iter()
            .collect();
        for (rack, team, job) in leftovers {
            let Some(from) = self.with_desk(Desk::next_serial) else {
                return;
            };
            let Some(address) = node.owner(&rack) else {
                continue;
            };
            if address == node.options.address {
                node.shard(&rack)
                    .map(|shard| shard.stop(node, &from, &team, &job));
            } else {
                let asked = node.peers.stop(&address, rack, from, (team, job));
                drop(tokio::time::timeout(ANSWER, asked).await);
            }
        }
    }

    /// Writes the rows of jobs that have changed; `true` if nothing is left to write.
    async fn save(&self, node: &Node) -> bool {
        loop {
            let Some(mut rows) = self.with_desk(Desk::unsaved) else {
                return false;
            };
            if rows.is_empty() {
                self.forget(node).await;
                return true;
            }
            let later = rows.split_off(rows.len().min(ROWS));
            self.with_desk(|desk| later.iter().for_each(|row| desk.not_saved(row)));
            if !self.save_rows(node, &rows).await {
                self.with_desk(|desk| rows.iter().for_each(|row| desk.not_saved(row)));
                return false;
            }
        }
    }

    async fn save_rows(&self, node: &Node, rows: &[Saved]) -> bool {
        let Some((version, _)) = self.state().record.clone() else {
            return false;
        };
        // Checked, so that a deposed owner can't bring back what the new one has overwritten.
        let mut transaction = Transaction::default().check(cell::Record::key(&self.name), version);
        for row in rows {
            let Ok(value) = serde_json::to_string(row) else {
                continue;
            };
            transaction = transaction.put(Saved::key(&row.job.team, &row.job.id), value);
        }
        node.table.commit(transaction).await.is_ok()
    }

    /// Deletes the rows of jobs that were over long ago.
    async fn forget(&self, node: &Node) {
        let gone = self
            .with_desk(|desk| desk.forget_over(KEEP_OVER))
            .unwrap_or_default();
        if gone.is_empty() {
            return;
        }
        let keys = gone.iter().map(|(team, job)| Saved::key(team, job));
        let transaction = keys.fold(Transaction::default(), Transaction::delete);
        drop(node.table.commit(transaction).await);
    }
}

async fn read_row(node: &Node, key: &str) -> Result<Option<String>, Error> {
    let scan = node.table.scan(&[key], 0).await?;
    let row = scan.rows.into_iter().find(|row| row.key == key);
    Ok(row.and_then(|row| row.value))
}

fn not_at_home() -> Fault {
    Fault::new(
        Kind::NotOwner,
        "this placer does not look after the team's jobs",
    )
}
