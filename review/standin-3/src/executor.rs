//! An executor as PROTOCOL.md tells, in a process of its own (`controlMode` is `rpc`). It starts whatever it is told to (its service has
//! `admissionCheck` false), runs tasks for as long as their `spec` says (`ms=1500`; `lasts` until they are stopped), and writes a line for each start and end to
//! its standard output.

use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::Json;

/// Ends in one response.
const MAX_ENDS: usize = 500;

struct Run {
    number: i64,
    started: Instant,
    /// `None` if it lasts.
    length: Option<Duration>,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: i64,
    /// On this executor's clock.
    lease: i64,
    running: HashMap<String, Run>,
    /// Number, task, run, how.
    ended: Vec<(i64, String, i64, &'static str)>,
    ends: i64,
    last_seen: i64,
    /// The highest run of each task that was stopped or has ended here.
    over: HashMap<String, i64>,
}

/// The settings of an executor.
pub struct Options {
    pub id: String,
    /// When it started, in Unix milliseconds.
    pub born: i64,
    pub hold_max: i64,
    pub stop_grace: Duration,
}

struct Executor {
    options: Options,
    born: i64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

fn say(line: &str) {
    println!("{} {line}", crate::unix_ms());
}

/// Runs an executor until its process is killed.
pub fn run(listener: TcpListener, options: Options) -> ! {
    let executor = Arc::new(Executor {
        born: options.born,
        options,
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    say(&format!("up {} born={}", executor.options.id, executor.born));
    let server = Arc::clone(&executor);
    http::serve(listener, move |request| server.handle(&request));
    loop {
        std::thread::sleep(Duration::from_millis(5));
        executor.end_runs();
    }
}

impl Executor {
    fn clock(&self) -> i64 {
        self.started.elapsed().as_millis() as i64
    }

    fn reply(&self, status: u16, mut fields: Vec<(String, Json)>) -> Answer {
        fields.push(("clockMs".to_owned(), Json::Int(self.clock())));
        fields.push(("born".to_owned(), Json::Int(self.born)));
        let mut body = String::new();
        Json::Map(fields).write(&mut body);
        (status, body)
    }

    fn refuse(&self, reason: &str) -> Answer {
        self.reply(409, vec![("reason".to_owned(), Json::Text(reason.to_owned()))])
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.path == "/health" {
            return self.reply(200, Vec::new());
        }
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.options.id {
            return self.reply(421, Vec::new());
        }
        let call = Json::parse(&request.body);
        let token = call.get("fencingToken").int();
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        match request.path.as_str() {
            "/run-start" => self.start(&mut state, &call),
            "/run-stop" => self.stop(&mut state, &call),
            "/hold" => {
                drop(state);
                self.hold(&call)
            }
            "/pace" => self.reply(200, Vec::new()),
            _ => self.reply(404, Vec::new()),
        }
    }

    fn extend(&self, state: &mut State, deadline: i64) {
        state.lease = state.lease.max(deadline.min(self.clock() + self.options.hold_max));
    }

    fn start(&self, state: &mut State, call: &Json) -> Answer {
        let (task, number) = (call.get("task").text(), call.get("runId").int());
        if task.is_empty() || number < 1 {
            return self.reply(400, Vec::new());
        }
        let deadline = call.get("deadlineMs").int();
        if deadline < self.clock() {
            return self.refuse("late");
        }
        self.extend(state, deadline);
        if let Some(run) = state.running.get(task) {
            return if run.number == number {
                self.reply(200, Vec::new())
            } else {
                self.refuse("old")
            };
        }
        if state.over.get(task).is_some_and(|over| number <= *over) {
            return self.refuse("old");
        }
        let spec = call.get("spec").text();
        let length = spec.strip_prefix("ms=").and_then(|text| text.parse().ok());
        let run = Run {
            number,
            started: Instant::now(),
            length: length.map(Duration::from_millis),
            stop_at: None,
        };
        state.running.insert(task.to_owned(), run);
        say(&format!(
            "start {} {task} run={number} token={}",
            self.options.id,
            call.get("fencingToken").int()
        ));
        self.reply(200, Vec::new())
    }

    fn stop(&self, state: &mut State, call: &Json) -> Answer {
        let (task, number) = (call.get("task").text(), call.get("runId").int());
        let over = state.over.entry(task.to_owned()).or_insert(0);
        *over = number.max(*over);
        if let Some(run) = state.running.get_mut(task)
            && run.number <= number
        {
            run.stop_at.get_or_insert(Instant::now() + self.options.stop_grace / 2);
        }
        self.reply(200, Vec::new())
    }

    fn hold(&self, call: &Json) -> Answer {
        let seen = call.get("lastSeen").int();
        let wait = Duration::from_millis(call.get("waitMs").int().clamp(0, 2_000) as u64);
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, call.get("deadlineMs").int());
        if seen > state.last_seen {
            state.last_seen = seen;
            state.ended.retain(|(number, ..)| *number > seen);
            say(&format!("seen {} {seen}", self.options.id));
        }
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let text = |text: &str| Json::Text(text.to_owned());
        let running = state.running.iter().map(|(task, run)| {
            let share = |length: Duration| (run.started.elapsed().as_millis() * 100 / length.as_millis().max(1)).min(100);
            let percent = run.length.map_or(100, share);
            Json::List(vec![
                text(task),
                Json::Int(run.number),
                text(""),
                Json::Int(percent as i64),
                Json::Int(10),
            ])
        });
        let ended = state.ended.iter().take(MAX_ENDS).map(|(number, task, run, how)| {
            Json::List(vec![Json::Int(*number), text(task), Json::Int(*run), text(how), text("")])
        });
        let lists = vec![
            ("running".to_owned(), Json::List(running.collect())),
            ("ended".to_owned(), Json::List(ended.collect())),
        ];
        drop(state);
        self.reply(200, lists)
    }

    fn end_runs(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let lapsed = state.lease < self.clock();
        let how = |run: &Run| match run.stop_at {
            _ if lapsed => Some("lapsed"),
            Some(at) if now >= at => Some("stopped"),
            None if run.length.is_some_and(|length| now >= run.started + length) => Some("done"),
            _ => None,
        };
        let mut over: Vec<(String, i64, &str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.number, how(run)?)))
            .collect();
        over.sort();
        for (task, number, how) in over {
            state.running.remove(&task);
            state.ends += 1;
            let end = state.ends;
            say(&format!("end {} {task} run={number} how={how} number={end}", self.options.id));
            let highest = state.over.entry(task.clone()).or_insert(0);
            *highest = number.max(*highest);
            state.ended.push((end, task, number, how));
            self.changed.notify_all();
        }
    }
}
