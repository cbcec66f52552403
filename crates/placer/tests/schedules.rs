//! Random sequences of faults, single, combined and repeated, against the real placers.
//!
//! Invariants: runs of one key never overlap, no worker exceeds its capacity, no attempt is started
//! twice, a non-idempotent request runs at most once, and a request answered with "not run" did not
//! run.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use std::sync::Arc;

use cluster::{Cluster, job, ms, request, secs};
use placer::Server;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use standin::{Faults, WorkerFaults};
use wire::rpc::PlacerServer as _;
use wire::{Answer, Class, Shape};

const KEYS: u32 = 3;
const IDS: u32 = 8;
const WORKERS: u32 = 3;

#[derive(Clone, Debug)]
enum Step {
    Send { id: u32, at: usize },
    Submit { id: u32, shape: u8 },
    Wait { time: u64 },
    Kill { at: usize },
    Pause { at: usize },
    Resume { at: usize },
    CutTable { at: usize, cut: bool },
    CutPeers { at: usize, cut: bool },
    CutWorker { at: usize, worker: u32 },
    Down { down: bool },
    Lose { n: u32 },
    Restart { worker: u32 },
    Freeze { worker: u32, frozen: bool },
    Leave { worker: u32, leaving: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0..3_usize;
    let worker = 0..WORKERS * 2;
    prop_oneof![
        8 => (0..IDS, at.clone()).prop_map(|(id, at)| Step::Send { id, at }),
        2 => (0..4_u32, 0..3_u8).prop_map(|(id, shape)| Step::Submit { id, shape }),
        6 => (50..4_000_u64).prop_map(|time| Step::Wait { time }),
        1 => at.clone().prop_map(|at| Step::Kill { at }),
        2 => at.clone().prop_map(|at| Step::Pause { at }),
        2 => at.clone().prop_map(|at| Step::Resume { at }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, cut)| Step::CutTable { at, cut }),
        1 => (at.clone(), any::<bool>()).prop_map(|(at, cut)| Step::CutPeers { at, cut }),
        2 => (at, worker.clone()).prop_map(|(at, worker)| Step::CutWorker { at, worker }),
        1 => any::<bool>().prop_map(|down| Step::Down { down }),
        1 => (1..4_u32).prop_map(|n| Step::Lose { n }),
        1 => worker.clone().prop_map(|worker| Step::Restart { worker }),
        1 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, frozen)| Step::Freeze { worker, frozen }),
        1 => (worker, any::<bool>())
            .prop_map(|(worker, leaving)| Step::Leave { worker, leaving }),
    ]
}

/// The answers to the requests with one id.
#[derive(Default)]
struct Answers {
    classes: Vec<Class>,
    open: Vec<tokio::task::JoinHandle<Option<Class>>>,
}

struct Scenario {
    cluster: Cluster,
    answers: Vec<Answers>,
    started: u32,
}

impl Scenario {
    async fn new() -> Self {
        let mut cluster = Cluster::new(2, WORKERS).await;
        for name in ["p1", "p2", "p3"] {
            cluster.start(name);
        }
        cluster.wait_for_owners(secs(15)).await;
        let answers = (0..IDS).map(|_| Answers::default()).collect();
        Self {
            cluster,
            answers,
            started: 3,
        }
    }

    async fn step(&mut self, step: &Step) {
        match *step {
            Step::Send { id, at } => self.send(id, at),
            Step::Submit { id, shape } => self.submit(id, shape).await,
            Step::Wait { time } => tokio::time::sleep(ms(time)).await,
            Step::Kill { at } => {
                let name = self.name(at);
                self.cluster.kill(&name);
                self.started += 1;
                self.cluster.start(&format!("p{}", self.started));
            }
            Step::Pause { at } => self.faults(at).pause(),
            Step::Resume { at } => self.faults(at).resume(),
            Step::CutTable { at, cut } => self.faults(at).cut_table(cut),
            Step::CutPeers { at, cut } => self.faults(at).cut_peers(cut),
            Step::CutWorker { at, worker } => self.faults(at).cut_worker(&name_of(worker)),
            Step::Down { down } => self.platform(|faults| faults.down = down),
            Step::Lose { n } => self.platform(|faults| faults.lose = n),
            Step::Restart { worker } => {
                self.cluster
                    .racks
                    .with(&name_of(worker), standin::Machine::restart);
            }
            Step::Freeze { worker, frozen } => {
                self.worker_faults(worker, |faults| faults.frozen = frozen);
            }
            Step::Leave { worker, leaving } => {
                self.worker_faults(worker, |faults| faults.leaving = leaving);
            }
        }
    }

    fn name(&self, at: usize) -> String {
        self.cluster.placers.keys().nth(at).unwrap().clone()
    }

    fn faults(&self, at: usize) -> Arc<cluster::Faults> {
        Arc::clone(&self.cluster.placers.values().nth(at).unwrap().faults)
    }

    fn platform(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.cluster.platform.faults();
        change(&mut faults);
        self.cluster.platform.set(faults);
    }

    fn worker_faults(&self, worker: u32, change: impl FnOnce(&mut WorkerFaults)) {
        self.cluster.racks.with(&name_of(worker), |machine| {
            let mut faults = machine.faults();
            change(&mut faults);
            machine.set(faults);
        });
    }

    /// Sends a request to a placer whether or not it owns the rack, as an entry with outdated
    /// routes would.
    fn send(&mut self, id: u32, at: usize) {
        let asked = request(
            &format!("a{id}"),
            &format!("k{}", id % KEYS),
            id.is_multiple_of(2),
            120,
        );
        let rack = self.cluster.home_rack(&asked.key);
        let server = Server::new(Arc::clone(&self.cluster.placers[&self.name(at)].node));
        let open = tokio::spawn(async move {
            let answer: Answer = server.run(rack, asked).await.ok()?;
            Some(answer.class())
        });
        self.answers[id as usize].open.push(open);
    }

    async fn submit(&self, id: u32, shape: u8) {
        let shape = [Shape::Batch, Shape::Gang, Shape::Service][usize::from(shape)];
        let asked = job(&format!("j{id}"), shape, 3, 6, 2_500);
        if self.cluster.owner(&self.cluster.team_home_rack()).is_some() {
            let submitted = self.cluster.submit(asked);
            drop(tokio::time::timeout(secs(3), submitted).await);
        }
    }

    /// Removes all faults, waits until everything has recovered, and checks the invariants.
    async fn end(mut self) {
        self.platform(|faults| *faults = Faults::default());
        for placer in self.cluster.placers.values() {
            placer.faults.resume();
            placer.faults.cut_table(false);
            placer.faults.cut_peers(false);
        }
        for worker in 0..WORKERS * 2 {
            self.worker_faults(worker, |faults| *faults = WorkerFaults::default());
        }
        tokio::time::sleep(secs(30)).await;
        for answers in &mut self.answers {
            for open in answers.open.drain(..) {
                let answered = tokio::time::timeout(ms(1), open).await;
                // A killed placer never answers, so the request may have run.
                let class = answered.ok().and_then(Result::ok).flatten();
                answers.classes.push(class.unwrap_or(Class::MayHaveRun));
            }
        }
        self.cluster.check_invariants();
        for (id, answers) in self.answers.iter().enumerate() {
            let runs = self.cluster.runs(&format!("a{id}"));
            let only_not_run = answers.classes.iter().all(|class| *class == Class::NotRun);
            assert!(
                !only_not_run || runs == 0,
                "a{id} was answered not run, but ran {runs} times"
            );
            let done = answers.classes.contains(&Class::Done);
            assert!(
                !done || runs > 0,
                "a{id} was answered done, but did not run"
            );
            assert!(id.is_multiple_of(2) || runs <= 1, "a{id} ran {runs} times");
        }
    }
}

fn name_of(worker: u32) -> String {
    format!("r{}-{}", 1 + worker / WORKERS, worker % WORKERS)
}

proptest! {
    #![proptest_config(Config {
        cases: 192,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn invariants_hold_under_random_faults(steps in prop::collection::vec(step(), 5..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut scenario = Scenario::new().await;
            for step in &steps {
                scenario.step(step).await;
            }
            scenario.end().await;
        });
    }
}
