//! A small cell inside a test: placers, a fake platform, fake racks of workers and fault switches.
//!
//! The placers are real; only what they call is fake. Time is paused, so a test does not wait in
//! real time and gives the same result in each run.

#![allow(dead_code, unreachable_pub, reason = "each test file uses only a part")]

mod fault_injection;
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

pub use fault_injection::Faults;
use fault_injection::FaultyConnections;
pub use net::Net;

/// The team and the service of all tests.
pub const TEAM: &str = "officers";
pub const SERVICE: &str = "checks";

/// One placer with its fault switches.
pub struct Placer {
    pub node: Arc<Node>,
    pub faults: Arc<Faults>,
}

/// A cell under test.
pub struct Cluster {
    pub platform: Arc<Platform>,
    pub racks: Racks,
    pub net: Arc<Net>,
    pub placers: BTreeMap<String, Placer>,
    pub cell: Cell,
}

/// Configuration with racks `r1` to `rN` in one region, one team and one service.
pub fn cell_config(racks: usize, workers: u32) -> raw::Cell {
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

impl Cluster {
    /// Creates a cell with this many racks of this many workers each, and no placer.
    pub async fn new(racks: usize, workers: u32) -> Self {
        let raw = cell_config(racks, workers);
        let cluster = Self {
            platform: Arc::default(),
            racks: Racks::default(),
            net: Arc::default(),
            placers: BTreeMap::new(),
            cell: Cell::try_from(raw.clone()).unwrap(),
        };
        for rack in cluster.cell.racks.keys() {
            for n in 0..workers {
                cluster.add_worker(rack, n);
            }
        }
        cluster.configure(&raw).await;
        cluster
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

    /// Writes a configuration unconditionally.
    pub async fn configure(&self, raw: &raw::Cell) -> u64 {
        let value = serde_json::to_string(raw).unwrap();
        self.platform
            .commit(Transaction::default().put(config::ROW, value))
            .await
            .unwrap()
    }

    /// Starts a placer with default options.
    pub fn start(&mut self, name: &str) -> Arc<Node> {
        self.start_with(Options::new(name, name).with_location("north", "north-1"))
    }

    /// Starts a placer with these options.
    pub fn start_with(&mut self, options: Options) -> Arc<Node> {
        let faults = Arc::new(Faults::default());
        let faulty = Arc::new(FaultyConnections {
            faults: Arc::clone(&faults),
            platform: Arc::clone(&self.platform),
            racks: self.racks.clone(),
            net: Arc::clone(&self.net),
        });
        let shutdown = Shutdown::default();
        let name = options.name.clone();
        let node = Node::new(
            options,
            faulty.clone(),
            faulty.clone(),
            faulty.clone(),
            faulty,
            shutdown,
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

    /// Kills a placer: none of its calls reaches anything from now on.
    pub fn kill(&mut self, name: &str) {
        let placer = self.placers.remove(name).unwrap();
        placer.faults.kill();
        self.net.remove(name);
    }

    /// Stops all placers and waits for their tasks.
    pub async fn end(self) {
        for placer in self.placers.values() {
            placer.faults.resume();
            placer.node.shutdown.join().await;
        }
    }

    /// The active owner of a rack.
    pub fn owner(&self, rack: &str) -> Option<String> {
        self.placers
            .keys()
            .find(|name| self.is_active(name, rack))
            .cloned()
    }

    /// Whether a placer considers itself the active owner of a rack.
    pub fn is_active(&self, placer: &str, rack: &str) -> bool {
        let status = self.placers[placer].node.status();
        status
            .racks
            .iter()
            .any(|r| r.rack == rack && r.stage == "active")
    }

    /// Waits until every rack has an active owner; panics after the timeout.
    pub async fn wait_for_owners(&self, timeout: Duration) {
        let settled = || {
            self.cell
                .racks
                .keys()
                .all(|rack| self.owner(rack).is_some())
        };
        wait_until(timeout, settled).await;
    }

    /// Sends a request to the owner of the key's rack.
    pub async fn send(&self, request: Request) -> Answer {
        let rack = self.home_rack(&request.key);
        let Some(owner) = self.owner(&rack) else {
            return Answer::fault(wire::Kind::NoOwner, "no owner");
        };
        self.send_to(&owner, request).await
    }

    /// Sends a request to one placer.
    pub async fn send_to(&self, placer: &str, request: Request) -> Answer {
        let rack = self.home_rack(&request.key);
        let node = Arc::clone(&self.placers[placer].node);
        Server::new(node).run(rack, request).await.unwrap()
    }

    /// Sends a request to one placer without waiting for the answer.
    pub fn spawn_send(&self, placer: &str, request: Request) -> tokio::task::JoinHandle<Answer> {
        let server = Server::new(Arc::clone(&self.placers[placer].node));
        let rack = self.home_rack(&request.key);
        tokio::spawn(async move { server.run(rack, request).await.unwrap() })
    }

    /// The home rack of a key.
    pub fn home_rack(&self, key: &str) -> String {
        let service = self.cell.service(SERVICE).unwrap();
        config::home::key(&self.cell, service, key)
            .unwrap()
            .to_owned()
    }

    /// The placer that manages the team's jobs.
    pub fn home_server(&self) -> Server {
        let owner = self
            .owner(&self.team_home_rack())
            .expect("an owner of the team's home rack");
        Server::new(Arc::clone(&self.placers[&owner].node))
    }

    /// The home rack of the team's jobs.
    pub fn team_home_rack(&self) -> String {
        let team = self.cell.team(TEAM).unwrap();
        config::home::team(&self.cell, TEAM, team)
            .unwrap()
            .to_owned()
    }

    /// Submits a job.
    pub async fn submit(&self, job: Job) -> Result<State, wire::Fault> {
        self.home_server()
            .submit(self.team_home_rack(), job)
            .await
            .unwrap()
    }

    /// The state of a job; `None` while no placer knows it.
    pub async fn job_state(&self, job: &str) -> Option<State> {
        let owner = self.owner(&self.team_home_rack())?;
        let server = Server::new(Arc::clone(&self.placers[&owner].node));
        server
            .watch(self.team_home_rack(), TEAM.to_owned(), job.to_owned())
            .await
            .unwrap()
            .ok()
    }

    /// Panics if two attempts at one task are running now.
    pub fn check_no_duplicate_attempts(&self) {
        let held = self.racks.running_attempts();
        for (n, one) in held.iter().enumerate() {
            let other = held[n + 1..].iter().find(|other| other.same_task(one));
            assert_eq!(other, None, "two attempts at one task run");
        }
    }

    /// Waits until the state of a job satisfies a condition; panics after the timeout.
    pub async fn wait_for_job(
        &self,
        job: &str,
        timeout: Duration,
        wanted: impl Fn(&State) -> bool,
    ) {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let state = self.job_state(job).await;
            self.check_no_duplicate_attempts();
            if state.as_ref().is_some_and(&wanted) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "job {job} did not reach the wanted state: {state:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// The merged journals of all workers.
    pub fn journal(&self) -> Journal {
        let mut all = Journal::default();
        for journal in self.racks.journals().into_values() {
            all.runs.extend(journal.runs);
            all.starts.extend(journal.starts);
            all.over += journal.over;
        }
        all
    }

    /// Number of runs of a request.
    pub fn runs(&self, id: &str) -> usize {
        let id = format!("{TEAM}/{id}");
        self.journal()
            .runs
            .iter()
            .filter(|run| run.id == id)
            .count()
    }

    /// Panics if two runs of one key overlapped, a worker exceeded its capacity, or an attempt was
    /// started twice.
    pub fn check_invariants(&self) {
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
            assert_eq!(overlap, None, "runs of key {key} overlapped");
        }
        assert_eq!(journal.over, 0, "a worker exceeded its capacity");
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

/// Waits until a condition holds; panics after the timeout.
pub async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + timeout;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "condition not met within {timeout:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A quick request that runs for `work` ms.
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

/// A job of `tasks` tasks of `cores` cores each.
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
