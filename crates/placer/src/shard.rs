//! A placer's state of one rack: the stage of its ownership and, if the placer owns the rack, the
//! rack's scheduling state. Each rack has its own lock.

mod adopt;
mod heartbeat;
mod jobs;
mod ownership;
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
use tokio_util::task::TaskTracker;
use wire::{Digest, FencingToken, Inventory, RackStatus};

use crate::Node;
use crate::node::lock;
use crate::request_cache::RequestCache;

/// One rack, owned or only watched.
pub struct Shard {
    pub(crate) name: id::Rack,
    state: Mutex<State>,
    /// Signals a change of the ownership stage.
    stage_changed: Notify,
    /// Signals new task events or jobs to place.
    jobs_changed: Notify,
    /// Signals that the rack is no longer only watched.
    left_watching: Notify,
    /// Submissions and cancellations in progress.
    job_calls: TaskTracker,
}

/// A worker as listed by the platform.
#[derive(Clone, Debug)]
struct ListedWorker {
    address: String,
    leaving: bool,
}

/// The incarnation of a worker as seen before ownership of the rack was confirmed.
#[derive(Clone, Copy, Debug)]
struct GreetedWorker {
    incarnation: id::Incarnation,
}

pub(crate) struct State {
    ownership: Ownership,
    /// The ownership record as this placer wrote it, with its row version.
    record: Option<(u64, Record)>,
    rack: Option<Rack>,
    takeover: Takeover,
    /// Manages the jobs whose home is this rack.
    scheduler: Option<JobScheduler>,
    requests: RequestCache,
    pending_starts: HashMap<Ticket, oneshot::Sender<QuickRun>>,
    retry_budgets: BTreeMap<id::Team, RetryBudget>,
    listed: BTreeMap<id::Worker, ListedWorker>,
    listed_at: Now,
    /// Since when the platform's host list differs from the roster.
    roster_mismatch_since: Option<Now>,
    /// Workers of recorded rosters that the host list lacks, and since when.
    unlisted_since: BTreeMap<id::Worker, Now>,
    greeted: BTreeMap<id::Worker, GreetedWorker>,
    settings: cell::Settings,
}

impl Shard {
    /// Creates the shard of a rack that is only watched.
    #[must_use]
    pub fn new(name: &str, request_retention: Duration) -> Self {
        let state = State {
            ownership: Ownership::new(),
            record: None,
            rack: None,
            takeover: Takeover::default(),
            scheduler: None,
            requests: RequestCache::new(request_retention),
            pending_starts: HashMap::new(),
            retry_budgets: BTreeMap::new(),
            listed: BTreeMap::new(),
            listed_at: Now::ZERO,
            roster_mismatch_since: None,
            unlisted_since: BTreeMap::new(),
            greeted: BTreeMap::new(),
            settings: cell::Settings::default(),
        };
        Self {
            name: name.to_owned(),
            state: Mutex::new(state),
            stage_changed: Notify::new(),
            jobs_changed: Notify::new(),
            left_watching: Notify::new(),
            job_calls: TaskTracker::new(),
        }
    }

    /// Starts the background tasks of this rack.
    pub(crate) fn spawn(self: &Arc<Self>, node: &Arc<Node>) {
        if let Some(applied) = node.active_config() {
            self.configure(&applied.cell);
        }
        node.shutdown
            .spawn(ownership::run(Arc::clone(node), Arc::clone(self)));
        node.shutdown
            .spawn(heartbeat::run(Arc::clone(node), Arc::clone(self)));
        node.shutdown
            .spawn(jobs::run(Arc::clone(node), Arc::clone(self)));
    }

    /// Applies the settings of a new configuration.
    pub(crate) fn configure(&self, cell: &Cell) {
        let settings = cell::Settings::from(&cell.policy);
        let mut state = self.state();
        state.settings = settings.clone();
        state
            .retry_budgets
            .values_mut()
            .for_each(|b| b.set_share(cell.policy.retry_share));
        if let Some(rack) = &mut state.rack {
            rack.configure(settings);
        }
    }

    /// The stage of this placer's ownership of the rack.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.state().ownership.stage()
    }

    /// Waits while the rack is only watched; `false` if the placer ends meanwhile. Most racks are
    /// only watched, so their background tasks must not wake up.
    async fn wait_while_watching(&self, node: &Node) -> bool {
        loop {
            let mut left = pin!(self.left_watching.notified());
            left.as_mut().enable();
            if self.stage() != Stage::Watching {
                return true;
            }
            tokio::select! {
                () = left => {}
                () = node.shutdown.ended() => return false,
            }
        }
    }

    /// The epoch under which this placer last took the rack.
    pub(crate) fn epoch(&self) -> id::Epoch {
        self.state().ownership.epoch()
    }

    /// Applies an ownership event and wakes the background tasks.
    pub(crate) fn handle(&self, event: &Event) {
        self.state().ownership.handle(event);
        self.stage_changed.notify_one();
        self.left_watching.notify_waiters();
    }

    /// Gives up the rack to another owner, which holds it under this epoch.
    ///
    /// Queued requests fail with "not owner". Requests that already run end with their workers'
    /// answers, or with an unknown outcome.
    pub(crate) fn depose(&self, node: &Node, epoch: id::Epoch) {
        log::warn!(
            rack = self.name.as_str(), epoch = epoch;
            "rack ownership lost to another placer"
        );
        metrics::counter!("lentilyoke_deposed_total").increment(1);
        let mut state = self.state();
        state.ownership.handle(&Event::Deposed);
        state.drop_rack();
        drop(state);
        node.sync_now.notify_one();
    }

    /// Free capacity of the rack, if this placer is its active owner.
    pub(crate) fn digest(&self, now: Now) -> Option<Digest> {
        let state = self.state();
        if state.ownership.stage() != Stage::Active {
            return None;
        }
        state.rack.as_ref().map(|rack| rack.digest(now))
    }

    /// The tasks that the rack holds for the jobs of one home rack, if this placer owns it.
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
            .scheduler
            .as_ref()
            .map(JobScheduler::usage)
            .unwrap_or_default();
        let team = |(team, (used, waiting)): (String, (Size, u32))| (team, used, waiting);
        status.teams = usage.into_iter().map(team).collect();
        status
    }

    /// Calls a function with the scheduler of the jobs whose home is this rack; `None` if it has not
    /// been started.
    pub(crate) fn with_scheduler<T>(
        &self,
        change: impl FnOnce(&mut JobScheduler) -> T,
    ) -> Option<T> {
        self.state().scheduler.as_mut().map(change)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Starts queued requests until none can start.
    fn dispatch(&self, now: Now) {
        let mut state = self.state();
        let State {
            rack: Some(rack),
            pending_starts,
            ..
        } = &mut *state
        else {
            return;
        };
        while let Next::Start(quick_run) = rack.start_next(now) {
            let start = pending_starts.remove(&quick_run.ticket);
            let sent = start.is_some_and(|start| start.send(quick_run.clone()).is_ok());
            if !sent {
                rack.finish(&quick_run, cell::RunOutcome::Refused, Duration::ZERO, now);
            }
        }
    }
}

impl State {
    /// Drops all state that only an owner of the rack has.
    fn drop_rack(&mut self) {
        self.rack = None;
        self.scheduler = None;
        self.record = None;
        self.takeover = Takeover::default();
        self.greeted.clear();
        // Queued requests see their channels close, and answer that they did not run.
        self.pending_starts.clear();
    }
}
