//! One rack as a placer sees it: whether it owns the rack, and if so, all of the rack's state.
//! Each rack has its own lock.

mod adopt;
mod jobs;
mod own;
mod pulse;
mod run;

use std::collections::{BTreeMap, HashMap};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use cell::fence::Takeover;
use cell::{Event, JobScheduler, Next, Now, Ownership, QuickRun, Rack, Record, Stage, Ticket};
use config::Cell;
use policy::RetryBudget;
use resource::{Size, id};
use tokio::sync::{Notify, oneshot};
use wire::{Digest, FencingToken, Inventory, RackStatus};

use crate::Node;
use crate::memory::Memory;
use crate::node::lock;

/// One rack, owned or watched.
pub struct Shard {
    pub(crate) name: id::Rack,
    state: Mutex<State>,
    /// The stage has changed.
    stage_now: Notify,
    /// There is news or waiting work.
    jobs_now: Notify,
    /// The rack is not only watched any more.
    wanted: Notify,
}

/// A worker as the platform lists it.
#[derive(Clone, Debug)]
struct Listed {
    address: String,
    leaving: bool,
}

/// A worker's life that was seen before ownership was confirmed.
#[derive(Clone, Copy, Debug)]
struct Greeted {
    incarnation: id::Incarnation,
}

pub(crate) struct State {
    ownership: Ownership,
    /// The rack's row as this placer wrote it.
    record: Option<(u64, Record)>,
    rack: Option<Rack>,
    takeover: Takeover,
    desk: Option<JobScheduler>,
    memory: Memory,
    starts: HashMap<Ticket, oneshot::Sender<QuickRun>>,
    budgets: BTreeMap<id::Team, RetryBudget>,
    listed: BTreeMap<id::Worker, Listed>,
    listed_at: Now,
    /// Since when the list differs from the roster.
    drift: Option<Now>,
    /// Workers of earlier rosters that the list does not show, and since when.
    missing: BTreeMap<id::Worker, Now>,
    greeted: BTreeMap<id::Worker, Greeted>,
    settings: cell::Settings,
}

impl Shard {
    /// A rack that is watched.
    #[must_use]
    pub fn new(name: &str, remember: Duration) -> Self {
        let state = State {
            ownership: Ownership::new(),
            record: None,
            rack: None,
            takeover: Takeover::default(),
            desk: None,
            memory: Memory::new(remember),
            starts: HashMap::new(),
            budgets: BTreeMap::new(),
            listed: BTreeMap::new(),
            listed_at: Now::ZERO,
            drift: None,
            missing: BTreeMap::new(),
            greeted: BTreeMap::new(),
            settings: cell::Settings::default(),
        };
        Self {
            name: name.to_owned(),
            state: Mutex::new(state),
            stage_now: Notify::new(),
            jobs_now: Notify::new(),
            wanted: Notify::new(),
        }
    }

    /// Starts the loops of this rack.
    pub(crate) fn spawn(self: &Arc<Self>, node: &Arc<Node>) {
        if let Some(applied) = node.applied() {
            self.configure(&applied.cell);
        }
        node.stop
            .spawn(own::run(Arc::clone(node), Arc::clone(self)));
        node.stop
            .spawn(pulse::run(Arc::clone(node), Arc::clone(self)));
        node.stop
            .spawn(jobs::run(Arc::clone(node), Arc::clone(self)));
    }

    /// Follows a change of configuration.
    pub(crate) fn configure(&self, cell: &Cell) {
        let settings = cell::Settings::from(&cell.policy);
        let mut state = self.state();
        state.settings = settings.clone();
        state
            .budgets
            .values_mut()
            .for_each(|b| b.set_share(cell.policy.retry_share));
        if let Some(rack) = &mut state.rack {
            rack.configure(settings);
        }
    }

    /// The stage of ownership.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.state().ownership.stage()
    }

    /// Waits while the rack is only watched; `false` if the placer ends meanwhile. Most racks are
    /// watched all the time, so their loops must cost nothing.
    async fn until_wanted(&self, node: &Node) -> bool {
        loop {
            let mut wanted = pin!(self.wanted.notified());
            wanted.as_mut().enable();
            if self.stage() != Stage::Watching {
                return true;
            }
            tokio::select! {
                () = wanted => {}
                () = node.stop.ended() => return false,
            }
        }
    }

    /// The epoch under which this placer last took the rack.
    pub(crate) fn epoch(&self) -> id::Epoch {
        self.state().ownership.epoch()
    }

    /// Takes note of an event of ownership.
    pub(crate) fn handle(&self, event: &Event) {
        self.state().ownership.handle(event);
        self.stage_now.notify_one();
        self.wanted.notify_waiters();
    }

    /// Another owner has the rack under this epoch. What waits is told so; what runs at workers is
    /// answered by them, or is not known.
    pub(crate) fn depose(&self, node: &Node, epoch: id::Epoch) {
        log::warn!(rack = self.name.as_str(), epoch = epoch; "deposed");
        metrics::counter!("lentilyoke_deposed_total").increment(1);
        let mut state = self.state();
        state.ownership.handle(&Event::Deposed);
        state.drop_rack();
        drop(state);
        node.beat_now.notify_one();
    }

    /// Room in the rack, if this placer owns it.
    pub(crate) fn digest(&self, now: Now) -> Option<Digest> {
        let state = self.state();
        if state.ownership.stage() != Stage::Active {
            return None;
        }
        state.rack.as_ref().map(|rack| rack.digest(now))
    }

    /// What the rack holds of the jobs of one home rack, if this placer owns it.
    pub(crate) fn inventory(&self, from: &FencingToken, now: Now) -> Option<Inventory> {
        let mut state = self.state();
        let complete = state.takeover.knows_all_tasks(now);
        let rack = state.rack.as_mut()?;
        rack.accept_message(from)
            .then(|| rack.inventory(&from.home, complete))
    }

    /// State of the rack for operators.
    pub(crate) fn status(&self, now: Now) -> RackStatus {
        let state = self.state();
        let stage = format!("{:?}", state.ownership.stage()).to_lowercase();
        let mut status = state
            .rack
            .as_ref()
            .map(|r| r.status(&stage, now))
            .unwrap_or_default();
        status.rack.clone_from(&self.name);
        status.stage = stage;
        let usage = state
            .desk
            .as_ref()
            .map(JobScheduler::usage)
            .unwrap_or_default();
        let team = |(team, (used, waiting)): (String, (Size, u32))| (team, used, waiting);
        status.teams = usage.into_iter().map(team).collect();
        status
    }

    /// Does something with the jobs at home here, if this placer looks after them.
    pub(crate) fn with_desk<T>(&self, change: impl FnOnce(&mut JobScheduler) -> T) -> Option<T> {
        self.state().desk.as_mut().map(change)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Starts as many waiting requests as can be.
    fn dispatch(&self, now: Now) {
        let mut state = self.state();
        let State {
            rack: Some(rack),
            starts,
            ..
        } = &mut *state
        else {
            return;
        };
        while let Next::Start(go) = rack.start_next(now) {
            let start = starts.remove(&go.ticket);
            let sent = start.is_some_and(|start| start.send(go.clone()).is_ok());
            if !sent {
                rack.finish(&go, cell::RunOutcome::Refused, Duration::ZERO, now);
            }
        }
    }
}

impl State {
    /// Lets go of all that belongs to an owner.
    fn drop_rack(&mut self) {
        self.rack = None;
        self.desk = None;
        self.record = None;
        self.takeover = Takeover::default();
        self.greeted.clear();
        // The waiting requests see their channels close, and answer that they did not run.
        self.starts.clear();
    }
}
