//! An executor, by PROTOCOL.md.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

use crate::http::{Request, Response, serve};
use crate::record::{Record, What};
use crate::store::Store;

/// Ends that one response lists.
/// The startup of a task that lasts, in milliseconds.
const STARTUP_MS: u64 = 300;
const LISTED_ENDS: usize = 500;
/// `holdMaxMs` of the site.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub fn unix() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// What an executor does for one task: `spec` of its job says it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub ms: u64,
    pub cpu: u64,
    pub checkpoints: bool,
    /// It runs until it is stopped: at work, and shown with 100 percent, after a short startup.
    pub lasts: bool,
    /// It ends `failed`.
    pub fails: bool,
}

/// Tells what a task does, by its name and the job's `spec`.
pub type WorkOf = Rc<dyn Fn(&str, &str) -> Work>;

struct Run {
    run: u64,
    work: Work,
    began: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    running: HashMap<String, Run>,
    /// Highest run of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    ends: VecDeque<(u64, String, u64, String, String)>,
    last_end: u64,
}

pub struct Executor {
    pub number: usize,
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub cpu: u64,
    /// The start of this life, on the time of day and on the steady clock.
    life: Cell<(u64, Instant)>,
    kind: Cell<&'static str>,
    down: Cell<bool>,
    serving: RefCell<Option<AbortHandle>>,
    state: RefCell<State>,
    ended: Notify,
    record: Record,
    work_of: WorkOf,
}

fn reply(status: u16, body: &Value) -> Response {
    Some((status, body.to_string().into_bytes()))
}

impl Executor {
    pub fn new(
        number: usize,
        address: SocketAddr,
        service: &str,
        cpu: u64,
        record: Record,
        work_of: WorkOf,
    ) -> Rc<Self> {
        Rc::new(Self {
            number,
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(number as u32 + 3)),
            address,
            service: service.to_owned(),
            cpu,
            life: Cell::new((unix(), Instant::now())),
            kind: Cell::new("a"),
            down: Cell::new(false),
            serving: RefCell::default(),
            state: RefCell::default(),
            ended: Notify::new(),
            record,
            work_of,
        })
    }

    fn clock(&self) -> u64 {
        // The clock of an executor starts anew with it.
        self.life.get().1.elapsed().as_millis() as u64 + 1
    }

    pub fn set_kind(&self, kind: &'static str) {
        self.kind.set(kind);
    }

    /// Serves its calls until it crashes.
    pub fn listen(self: &Rc<Self>, listener: TcpListener) {
        let serving = Rc::clone(self);
        let task = tokio::task::spawn_local(serve(listener, move |request| {
            Rc::clone(&serving).handle(request)
        }));
        *self.serving.borrow_mut() = Some(task.abort_handle());
    }

    /// Crashes, and starts again under its id and address `after` that, as an executor of this kind.
    pub async fn crash(
        self: &Rc<Self>,
        after: Duration,
        kind: &'static str,
    ) -> std::io::Result<()> {
        self.down.set(true);
        if let Some(serving) = self.serving.take() {
            serving.abort();
        }
        let lost: Vec<(String, u64)> = {
            let mut state = self.state.borrow_mut();
            let lost = state
                .running
                .drain()
                .map(|(task, run)| (task, run.run))
                .collect();
            *state = State::default();
            lost
        };
        for (task, run) in lost {
            self.record
                .event(self.number, &task, run, What::End("lost".to_owned(), 0));
        }
        self.ended.notify_waiters();
        tokio::time::sleep(after).await;
        let listener = TcpListener::bind(self.address).await?;
        self.life.set((unix(), Instant::now()));
        self.kind.set(kind);
        self.down.set(false);
        self.listen(listener);
        Ok(())
    }

    /// Number of tasks that are at work.
    pub fn running(&self) -> usize {
        self.state.borrow().running.len()
    }

    /// Processors in use, in thousandths.
    pub fn used(&self) -> u64 {
        self.state
            .borrow()
            .running
            .values()
            .map(|run| run.work.cpu)
            .sum()
    }

    /// Tasks at work whose name begins so.
    pub fn runs_of(&self, prefix: &str) -> usize {
        let state = self.state.borrow();
        state
            .running
            .keys()
            .filter(|task| task.starts_with(prefix))
            .count()
    }

    /// Ends that the scheduler has not taken note of.
    pub fn unseen(&self) -> usize {
        self.state.borrow().ends.len()
    }

    /// Registers the executor in the store and keeps its row alive; ends its runs when the lease lapses.
    pub async fn live(self: Rc<Self>, store: Store) {
        let mut seq = 0;
        // The executors of a deployment don't write at the same moment.
        tokio::time::sleep(Duration::from_millis(self.number as u64 * 137 % 1_500)).await;
        loop {
            while self.down.get() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            seq += 1;
            let row = json!({
                "service": self.service, "address": self.address.to_string(), "zone": "zone-a", "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": { "cpu": self.cpu, "memMb": 131_072, "gpus": 0 },
                "labels": [self.kind.get(), format!("r1-{}", self.number / 2)], "clockMs": self.clock(), "seq": seq, "born": self.life.get().0,
            });
            store.put("servers", &self.id, Some(&row));
            let next = tokio::time::Instant::now() + HEARTBEAT;
            while tokio::time::Instant::now() < next && !self.down.get() {
                tokio::time::sleep(Duration::from_millis(20)).await;
                let lapsed: Vec<String> = {
                    let state = self.state.borrow();
                    let lapsed = state.lease < self.clock();
                    state.running.keys().filter(|_| lapsed).cloned().collect()
                };
                for task in lapsed {
                    self.end(&task, "lapsed");
                }
            }
        }
    }

    fn saved(&self, run: &Run) -> String {
        let worked = self.clock().saturating_sub(run.began) / 1_000 * 1_000;
        if run.work.checkpoints && worked > 0 {
            format!("{worked:08x}7a21d94b")
        } else {
            String::new()
        }
    }

    fn end(&self, task: &str, how: &str) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let saved = if how == "done" {
            String::new()
        } else {
            self.saved(&run)
        };
        state.last_end += 1;
        let number = state.last_end;
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.run);
        state
            .ends
            .push_back((number, task.to_owned(), run.run, how.to_owned(), saved));
        drop(state);
        self.record.event(
            self.number,
            task,
            run.run,
            What::End(how.to_owned(), number),
        );
        self.ended.notify_waiters();
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            state.lease = state.lease.max(deadline.min(self.clock() + HOLD_MAX_MS));
        }
    }

    /// Handles a call; a crash ends it, and its connection, without a response.
    pub async fn handle(self: Rc<Self>, request: Request) -> Response {
        let life = self.life.get();
        let response = Rc::clone(&self).answer(request).await;
        response.filter(|_| !self.down.get() && self.life.get() == life)
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        if self.down.get() {
            return None;
        }
        if request.method == "GET" {
            return reply(200, &json!({}));
        }
        if request
            .headers
            .get("x-expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return Some((421, Vec::new()));
        }
        let Ok(call) = serde_json::from_slice::<Value>(&request.body) else {
            return reply(400, &json!({ "clockMs": self.clock() }));
        };
        let refuse =
            |reason: &str| reply(409, &json!({ "clockMs": self.clock(), "reason": reason }));
        let fence = call["fencingToken"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.borrow_mut();
            if fence < state.fence {
                return refuse("fence");
            }
            state.fence = fence;
        }
        let task = call["task"].as_str().unwrap_or("").to_owned();
        let run = call["runId"].as_u64().unwrap_or(0);
        let deadline = call["deadlineMs"].as_u64();
        match request.path.as_str() {
            "/run-start" => self.start(&call, &task, run, deadline),
            "/run-stop" => {
                let is_running = {
                    let mut state = self.state.borrow_mut();
                    let over = state.over.entry(task.clone()).or_default();
                    *over = (*over).max(run);
                    state.running.get(&task).is_some_and(|it| it.run == run)
                };
                if is_running {
                    let executor = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        executor.end(&task, "stopped");
                    });
                }
                reply(200, &json!({ "clockMs": self.clock() }))
            }
            "/pace" => reply(200, &json!({ "clockMs": self.clock() })),
            "/hold" => self.hold(&call, deadline).await,
            _ => reply(404, &json!({})),
        }
    }

    fn start(
        self: &Rc<Self>,
        call: &Value,
        task: &str,
        run: u64,
        deadline: Option<u64>,
    ) -> Response {
        let refuse =
            |reason: &str| reply(409, &json!({ "clockMs": self.clock(), "reason": reason }));
        {
            let mut state = self.state.borrow_mut();
            if deadline.is_some_and(|deadline| deadline < self.clock()) {
                return refuse("late");
            }
            self.extend(&mut state, deadline);
            if state.running.get(task).is_some_and(|it| it.run == run) {
                return reply(200, &json!({ "clockMs": self.clock() }));
            }
            let over = state.over.get(task).copied().unwrap_or(0);
            if run <= over || state.running.contains_key(task) {
                return refuse("old");
            }
            let work = (self.work_of)(task, call["spec"].as_str().unwrap_or(""));
            let began = self.clock();
            state
                .running
                .insert(task.to_owned(), Run { run, work, began });
            let (executor, task, life) = (Rc::clone(self), task.to_owned(), self.life.get());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(work.ms)).await;
                let same = executor
                    .state
                    .borrow()
                    .running
                    .get(&task)
                    .is_some_and(|it| it.run == run);
                if same && executor.life.get() == life {
                    executor.end(&task, if work.fails { "failed" } else { "done" });
                }
            });
        }
        self.record.event(self.number, task, run, What::Start);
        reply(200, &json!({ "clockMs": self.clock() }))
    }

    async fn hold(&self, call: &Value, deadline: Option<u64>) -> Response {
        let seen = call["lastSeen"].as_u64().unwrap_or(0);
        {
            let mut state = self.state.borrow_mut();
            self.extend(&mut state, deadline);
            while state.ends.front().is_some_and(|end| end.0 <= seen) {
                if let Some((number, task, run, _, _)) = state.ends.pop_front() {
                    self.record
                        .event(self.number, &task, run, What::Seen(number));
                }
            }
        }
        let wait = call["waitMs"].as_u64().unwrap_or(0).min(2_000);
        let until = tokio::time::Instant::now() + Duration::from_millis(wait);
        while self.state.borrow().ends.is_empty()
            && !self.down.get()
            && tokio::time::Instant::now() < until
        {
            drop(timeout_at(until, self.ended.notified()).await);
        }
        let state = self.state.borrow();
        let clock = self.clock();
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| {
                let worked = clock.saturating_sub(run.began);
                let percent = match run.work.lasts {
                    true if worked >= STARTUP_MS => 100,
                    true => 0,
                    false => (worked * 100 / run.work.ms.max(1)).min(99),
                };
                json!([task, run.run, self.saved(run), percent, run.work.cpu])
            })
            .collect();
        let ended: Vec<Value> = state
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
            .collect();
        reply(
            200,
            &json!({ "clockMs": clock, "running": running, "ended": ended, "born": self.life.get().0 }),
        )
    }
}
