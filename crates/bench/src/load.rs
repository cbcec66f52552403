//! Asks what a workload says, in open loop: a slow answer does not delay the next request, so that
//! waiting is not hidden.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};
use wire::Class;

use crate::{Client, Got, JobStream, Outcome, RequestStream, Tally, Workload};

/// How a workload is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entries, `ip:port`; requests go to them in turn.
    pub entries: Vec<String>,
    /// How long requests arrive.
    pub time: Duration,
    /// Makes arrivals, keys and run times the same each time.
    pub seed: u64,
    /// Multiplies all rates.
    pub scale: f64,
}

/// One request with what the caller concluded from the answers to it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Team and id.
    pub id: String,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Whether it was asked more than once.
    pub repeated: bool,
    /// What was concluded from each answer.
    pub outcomes: Vec<Outcome>,
    /// Whether an answer "done" was not to this request.
    pub foreign: bool,
}

/// Grace beyond the deadline before a caller gives up.
const GRACE: Duration = Duration::from_secs(2);
/// Longest wait for a job.
const JOB_LIMIT: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Player {
    clients: Arc<Vec<Client>>,
    tally: Arc<Mutex<Tally>>,
    asked: Arc<Mutex<Vec<Asked>>>,
    start: Instant,
    options: Options,
    latency: Duration,
}

/// Plays a workload; tells what callers got.
pub async fn play(workload: &Workload, options: Options) -> (Tally, Vec<Asked>) {
    let player = Player {
        clients: Arc::new(options.entries.iter().map(|e| Client::new(e)).collect()),
        tally: Arc::default(),
        asked: Arc::default(),
        start: Instant::now(),
        options,
        latency: Duration::from_millis(workload.client_ms),
    };
    let mut streams = JoinSet::new();
    for (nth, stream) in (0u64..).zip(&workload.requests) {
        let (player, stream) = (player.clone(), stream.clone());
        streams.spawn(async move { player.requests(stream, nth).await });
    }
    for stream in &workload.jobs {
        let (player, stream) = (player.clone(), stream.clone());
        streams.spawn(async move { player.jobs(stream).await });
    }
    while streams.join_next().await.is_some() {}
    let tally = player
        .tally
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let asked = std::mem::take(&mut *player.asked.lock().unwrap_or_else(PoisonError::into_inner));
    (tally, asked)
}

impl Player {
    async fn requests(self, stream: RequestStream, nth: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed ^ (nth << 32));
        let end = self.start + self.options.time;
        let mut due = self.start;
        let mut open = JoinSet::new();
        for number in 0u64.. {
            let since = due.duration_since(self.start).as_secs_f64();
            let rate = rate(&stream, since) * self.options.scale;
            let gap = -(1.0 - random.random::<f64>()).ln() / rate;
            due += Duration::from_secs_f64(gap);
            if due >= end {
                break;
            }
            let key = random.random_range(0..stream.keys);
            let work = random.random_range(stream.work_ms.0..=stream.work_ms.1);
            let repeated = random.random::<f64>() < stream.repeat;
            let entry = random.random_range(0..self.clients.len());
            sleep_until(due).await;
            let (player, stream) = (self.clone(), stream.clone());
            open.spawn(async move {
                let id = format!("{}-{}-{number}", stream.name, player.options.seed);
                let request = Single {
                    id,
                    key,
                    work,
                    repeated,
                    entry,
                    due,
                };
                player.request(&stream, request).await;
            });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    async fn request(&self, stream: &RequestStream, request: Single) {
        let other = (request.entry + 1) % self.clients.len();
        let (first, second) = if request.repeated {
            let again = self.ask(stream, &request, other);
            let (first, second) = tokio::join!(self.ask(stream, &request, request.entry), again);
            (first, Some(second))
        } else {
            (self.ask(stream, &request, request.entry).await, None)
        };
        let took = request.due.elapsed();
        let got: Vec<&Got> = std::iter::once(&first).chain(&second).collect();
        let name = format!("{}/{}", stream.team, request.id);
        let foreign = got.iter().any(|got| {
            got.outcome == Outcome::Class(Class::Done)
                && !String::from_utf8_lossy(&got.body).starts_with(&format!("{name} "))
        });
        let outcomes = got.iter().map(|got| got.outcome).collect();
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.count(&stream.name, first.outcome, took);
        drop(tally);
        let asked = Asked {
            id: name,
            idempotent: stream.idempotent,
            repeated: request.repeated,
            outcomes,
            foreign,
        };
        self.asked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(asked);
    }

    async fn ask(&self, stream: &RequestStream, request: &Single, entry: usize) -> Got {
        let headers = [
            ("lentilyoke-team", stream.team.clone()),
            ("lentilyoke-service", stream.service.clone()),
            (
                "lentilyoke-key",
                format!("{}{}", stream.prefix, request.key),
            ),
            ("lentilyoke-idempotent", stream.idempotent.to_string()),
            ("lentilyoke-deadline-ms", stream.deadline_ms.to_string()),
        ];
        let body = Bytes::from(format!("work_ms={}", request.work));
        let path = format!("/v1/requests/{}", request.id);
        let limit = Duration::from_millis(stream.deadline_ms) + GRACE;
        sleep(self.latency).await;
        let mut got = Got {
            outcome: Outcome::NotAsked,
            status: 0,
            body: Bytes::new(),
        };
        // As a balancer does: an entry that takes no connection is passed over.
        for nth in 0..self.clients.len() {
            let client = &self.clients[(entry + nth) % self.clients.len()];
            got = client
                .call(Method::POST, &path, &headers, body.clone(), limit)
                .await;
            if got.outcome != Outcome::NotAsked {
                break;
            }
        }
        sleep(self.latency).await;
        got
    }

    async fn jobs(self, stream: JobStream) {
        let mut open = JoinSet::new();
        for number in 0..stream.count {
            let at = stream.at_s + stream.every_s * f64::from(number);
            let due = self.start + Duration::from_secs_f64(at);
            let (player, stream) = (self.clone(), stream.clone());
            open.spawn(async move {
                sleep_until(due).await;
                let outcome = player.job(&stream, number).await;
                let mut tally = player.tally.lock().unwrap_or_else(PoisonError::into_inner);
                tally.count(&stream.name, outcome, due.elapsed());
            });
        }
        while open.join_next().await.is_some() {}
    }

    /// Submits a job and waits until it is over; a service, until it is up.
    async fn job(&self, stream: &JobStream, number: u32) -> Outcome {
        let path = format!(
            "/v1/jobs/{}/{}-{}-{number}",
            stream.team, stream.name, self.options.seed
        );
        let body = json!({
            "shape": stream.shape,
            "tasks": stream.tasks,
            "size": stream.size,
            "urgent": stream.urgent,
            "run_ms": stream.run_ms,
        });
        let put = self.patiently(Method::PUT, &path, body.to_string()).await;
        if put.outcome != Outcome::Class(Class::Done) {
            return put.outcome;
        }
        let deadline = Instant::now() + JOB_LIMIT;
        let mut withdrawn = false;
        while Instant::now() < deadline {
            let got = self.patiently(Method::GET, &path, String::new()).await;
            let state: Result<wire::State, _> = serde_json::from_slice(&got.body);
            let Ok(state) = state else {
                return got.outcome;
            };
            if state.phase == wire::Phase::Failed {
                return Outcome::NoAnswer;
            }
            let up = stream.shape == wire::Shape::Service && state.running == stream.tasks;
            if stream.withdraw && state.running > 0 && !withdrawn {
                withdrawn = true;
                self.patiently(Method::DELETE, &path, String::new()).await;
            }
            if state.phase.is_over() || up {
                return Outcome::Class(Class::Done);
            }
            sleep(Duration::from_millis(50)).await;
        }
        Outcome::NoAnswer
    }

    /// Calls about jobs may be made again, through another entry.
    async fn patiently(&self, method: Method, path: &str, body: String) -> Got {
        let mut last = None;
        for nth in 0..20 {
            let client = &self.clients[nth % self.clients.len()];
            let body = Bytes::from(body.clone());
            let got = client
                .call(method.clone(), path, &[], body, JOB_LIMIT)
                .await;
            match got.outcome {
                Outcome::Class(Class::Done | Class::Refused) => return got,
                _ => last = Some(got),
            }
            sleep(Duration::from_millis(500)).await;
        }
        last.unwrap_or(Got {
            outcome: Outcome::NoAnswer,
            status: 0,
            body: Bytes::new(),
        })
    }
}

/// One request of a stream.
struct Single {
    id: String,
    key: u32,
    work: u64,
    repeated: bool,
    entry: usize,
    due: Instant,
}

fn rate(stream: &RequestStream, since: f64) -> f64 {
    let rush = stream
        .burst
        .filter(|b| (b.at_s..b.at_s + b.for_s).contains(&since));
    stream.rate * rush.map_or(1.0, |b| b.times)
}
