//! A small cell inside a test: placers, a platform, racks of workers, and switches for what fails.
//!
//! Nothing is simulated but the outside: the placers are the real ones. Time is paused, so a test
//! takes no longer than its steps and gives the same verdict each run.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

mod faulty;
mod net;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use config::{Builder, Cell, raw};
use placer::{Node, Options, Server};
use platform::{Host, HostStatus, Table as _, Transaction};
use resource::Size;
use standin::{Journal, Platform, Racks};
use telemetry::Shutdown;
use wire::rpc::PlacerServer as _;
use wire::{Answer, Job, Request, Shape, State};

pub use faulty::Faults;
use faulty::Faulty;
pub use net::Net;

/// A team, a service and a key's usual names.
pub const TEAM: &str = "officers";
pub const SERVICE: &str = "checks";

/// One placer and what goes wrong with it.
pub struct Placer {
    pub node: Arc<Node>,
    pub faults: Arc<Faults>,
}

/// The cell.
pub struct World {
    pub platform: Arc<Platform>,
    pub racks: Racks,
    pub net: Arc<Net>,
    pub placers: BTreeMap<String, Placer>,
    pub cell: Cell,
}

/// Racks `r1` to `rN` in one region, with one team and one service.
pub fn cell_of(racks: usize, workers: u32) -> raw::Cell {
    let mut builder = Builder::new("test")
        .worker(16.0, 65_536, 2)
        .workers_per_rack(workers);
    for n in 1..=racks {
        builder = builder.rack("north", "north-1", &format!("r{n}"));
    }
    builder
        .team(TEAM, "north", 64.0, 262_144)
        .service(SERVICE, "north", 500)
        .into_raw()
}

impl World {
    /// A cell with so many racks of so many workers, and no placer yet.
    pub async fn new(racks: usize, workers: u32) -> Self {
        let raw = cell_of(racks, workers);
        let world = Self {
            platform: Arc::default(),
            racks: Racks::default(),
            net: Arc::default(),
            placers: BTreeMap::new(),
            cell: Cell::try_from(raw.clone()).unwrap(),
        };
        for rack in world.cell.racks.keys() {
            for n in 0..workers {
                world.add_worker(rack, n);
            }
        }
        world.configure(&raw).await;
        world
    }

    /// Adds a worker to a rack and lists it.
    pub fn add_worker(&self, rack: &str, n: u32) {
        let name = format!("{rack}-{n}");
        self.racks.add(&name, Size::new(16_000, 65_536, 2), 8);
        self.platform.list(Host {
            address: name.clone(),
            name,
            rack: rack.to_owned(),
            status: HostStatus::Live,
        });
    }

    /// Writes a configuration, whatever is in force.
    pub async fn configure(&self, raw: &raw::Cell) -> u64 {
        let value = serde_json::to_string(raw).unwrap();
        self.platform
            .commit(Transaction::default().put(config::ROW, value))
            .await
            .unwrap()
    }

    /// Starts a placer.
    pub fn start(&mut self, name: &str) -> Arc<Node> {
        self.start_with(Options::new(name, name).place("north", "north-1"))
    }

    /// Starts a placer with options of its own.
    pub fn start_with(&mut self, options: Options) -> Arc<Node> {
        let faults = Arc::new(Faults::default());
        let faulty = Arc::new(Faulty {
            faults: Arc::clone(&faults),
            platform: Arc::clone(&self.platform),
            racks: self.racks.clone(),
            net: Arc::clone(&self.net),
        });
        let stop = Shutdown::default();
        let name = options.name.clone();
        let node = Node::new(
            options,
            faulty.clone(),
            faulty.clone(),
            faulty.clone(),
            faulty,
            stop,
        );
        self.net.add(&name, Arc::clone(&node), Arc::clone(&faults));
        node.spawn();
        self.placers.insert(
            name,
            Placer {
                node: Arc::clone(&node),
                faults,
            },
        );
        node
    }

    /// Ends a placer as a kill would: from now on nothing of it reaches anybody.
    pub fn kill(&mut self, name: &str) {
        let placer = self.placers.remove(name).unwrap();
        placer.faults.kill();
        self.net.remove(name);
    }

    /// Stops everything and joins it.
    pub async fn end(self) {
        for placer in self.placers.values() {
            placer.faults.thaw();
            placer.node.stop.join().await;
        }
    }

    /// The placer that is active for a rack.
    pub fn owner(&self, rack: &str) -> Option<String> {
        self.placers
            .keys()
            .find(|name| self.active(name, rack))
            .cloned()
    }

    /// Whether a placer takes itself for the active owner of a rack.
    pub fn active(&self, placer: &str, rack: &str) -> bool {
        let status = self.placers[placer].node.status();
        status
            .racks
            .iter()
            .any(|r| r.rack == rack && r.stage == "active")
    }

    /// Waits until every rack has an active owner; panics after so long.
    pub async fn settle(&self, longest: Duration) {
        let settled = || {
            self.cell
                .racks
                .keys()
                .all(|rack| self.owner(rack).is_some())
        };
        until(longest, settled).await;
    }

    /// Asks the owner of the key's rack.
    pub async fn ask(&self, request: Request) -> Answer {
        let rack = self.home(&request.key);
        let Some(owner) = self.owner(&rack) else {
            return Answer::fault(wire::Kind::NoOwner, "no owner");
        };
        self.ask_at(&owner, request).await
    }

    /// Asks one placer.
    pub async fn ask_at(&self, placer: &str, request: Request) -> Answer {
        let rack = self.home(&request.key);
        let node = Arc::clone(&self.placers[placer].node);
        Server::new(node).run(rack, request).await.unwrap()
    }

    /// Asks one placer, and does not wait for the answer.
    pub fn ask_later(&self, placer: &str, request: Request) -> tokio::task::JoinHandle<Answer> {
        let server = Server::new(Arc::clone(&self.placers[placer].node));
        let rack = self.home(&request.key);
        tokio::spawn(async move { server.run(rack, request).await.unwrap() })
    }

    /// The rack that a key is at home in.
    pub fn home(&self, key: &str) -> String {
        let service = self.cell.service(SERVICE).unwrap();
        config::home::key(&self.cell, service, key)
            .unwrap()
            .to_owned()
    }

    /// The placer that looks after the team's jobs.
    pub fn desk(&self) -> Server {
        let owner = self
            .owner(&self.team_home())
            .expect("an owner of the team's home rack");
        Server::new(Arc::clone(&self.placers[&owner].node))
    }

    /// The rack that the team's jobs are at home in.
    pub fn team_home(&self) -> String {
        let team = self.cell.team(TEAM).unwrap();
        config::home::team(&self.cell, TEAM, team)
            .unwrap()
            .to_owned()
    }

    /// Submits a job.
    pub async fn submit(&self, job: Job) -> Result<State, wire::Fault> {
        self.desk().submit(self.team_home(), job).await.unwrap()
    }

    /// Tells where a job stands; `None` while nobody can tell.
    pub async fn watch(&self, job: &str) -> Option<State> {
        let owner = self.owner(&self.team_home())?;
        let server = Server::new(Arc::clone(&self.placers[&owner].node));
        server
            .watch(self.team_home(), TEAM.to_owned(), job.to_owned())
            .await
            .unwrap()
            .ok()
    }

    /// Panics if two attempts at one task run at this moment.
    pub fn check_attempts(&self) {
        let held = self.racks.held();
        for (n, one) in held.iter().enumerate() {
            let other = held[n + 1..].iter().find(|other| other.same_task(one));
            assert_eq!(other, None, "two attempts at one task run");
        }
    }

    /// Waits until a job stands as wanted; panics after so long.
    pub async fn await_job(&self, job: &str, longest: Duration, wanted: impl Fn(&State) -> bool) {
        let deadline = tokio::time::Instant::now() + longest;
        loop {
            let state = self.watch(job).await;
            self.check_attempts();
            if state.as_ref().is_some_and(&wanted) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "{job} stands at {state:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// What all workers did.
    pub fn journal(&self) -> Journal {
        let mut all = Journal::default();
        for journal in self.racks.journals().into_values() {
            all.runs.extend(journal.runs);
            all.starts.extend(journal.starts);
            all.over += journal.over;
        }
        all
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let id = format!("{TEAM}/{id}");
        self.journal()
            .runs
            .iter()
            .filter(|run| run.id == id)
            .count()
    }

    /// Panics if two runs worked on one key at one time, or a worker held more than it has.
    pub fn check(&self) {
        let journal = self.journal();
        let mut by_key: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
        for run in &journal.runs {
            by_key
                .entry(&run.key)
                .or_default()
                .push((run.from, run.until.unwrap_or(u64::MAX)));
        }
        for (key, mut runs) in by_key {
            runs.sort_unstable();
            let overlap = runs.windows(2).find(|pair| pair[1].0 < pair[0].1);
            assert_eq!(overlap, None, "{key} ran in two places");
        }
        assert_eq!(journal.over, 0, "a worker held more than it has");
        let mut starts = journal.starts.clone();
        starts.sort();
        starts.dedup();
        assert_eq!(
            starts.len(),
            journal.starts.len(),
            "an attempt was started twice"
        );
    }
}

/// Waits until something is so; panics after so long.
pub async fn until(longest: Duration, so: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + longest;
    while !so() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "not so within {longest:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A quick request that works for so long.
pub fn request(id: &str, key: &str, idempotent: bool, work: u64) -> Request {
    Request {
        id: id.to_owned(),
        team: TEAM.to_owned(),
        service: SERVICE.to_owned(),
        key: key.to_owned(),
        idempotent,
        budget_ms: 2_000,
        body: format!("work_ms={work}").as_str().into(),
    }
}

/// A job of so many tasks of so many cores.
pub fn job(id: &str, shape: Shape, tasks: u32, cores: u64, run_ms: u64) -> Job {
    Job {
        id: id.to_owned(),
        team: TEAM.to_owned(),
        shape,
        tasks,
        size: Size::new(cores * 1_000, 1_024, 0),
        urgent: false,
        run_ms,
    }
}

pub const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
