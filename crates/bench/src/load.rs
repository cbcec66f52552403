//! Open-loop load generator: a slow answer does not delay the next request, so that queueing delays
//! show in the measured latencies.

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

use crate::{Client, JobStream, Outcome, Reply, RequestStream, Tally, Workload};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the entries, `ip:port`; each request is sent to one chosen at random.
    pub entries: Vec<String>,
    /// Period in which requests arrive.
    pub duration: Duration,
    /// Seed of arrivals, keys and run times.
    pub seed: u64,
    /// Factor that is applied to the rates of all request streams.
    pub scale: f64,
}

/// A request with the outcomes of its answers.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Team and id.
    pub id: String,
    /// Whether running it more than once does no harm.
    pub idempotent: bool,
    /// Whether it was sent twice.
    pub repeated: bool,
    /// Outcome of each submission.
    pub outcomes: Vec<Outcome>,
    /// Whether an answer "done" belonged to another request.
    pub mismatched: bool,
}

/// Time beyond the deadline of a request for which a caller waits for the answer.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Maximum wait for the end of a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct LoadGenerator {
    clients: Arc<Vec<Client>>,
    tally: Arc<Mutex<Tally>>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    start: Instant,
    options: Options,
    latency: Duration,
}

/// Runs a workload; returns the counts by stream and the records of all requests.
pub async fn run(workload: &Workload, options: Options) -> (Tally, Vec<RequestRecord>) {
    let generator = LoadGenerator {
        clients: Arc::new(options.entries.iter().map(|e| Client::new(e)).collect()),
        tally: Arc::default(),
        records: Arc::default(),
        start: Instant::now(),
        options,
        latency: Duration::from_millis(workload.client_ms),
    };
    let mut streams = JoinSet::new();
    for (nth, stream) in (0u64..).zip(&workload.requests) {
        let (generator, stream) = (generator.clone(), stream.clone());
        streams.spawn(async move { generator.run_request_stream(stream, nth).await });
    }
    for stream in &workload.jobs {
        let (generator, stream) = (generator.clone(), stream.clone());
        streams.spawn(async move { generator.run_job_stream(stream).await });
    }
    while streams.join_next().await.is_some() {}
    let tally = generator
        .tally
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let records = std::mem::take(
        &mut *generator
            .records
            .lock()
            .unwrap_or_else(PoisonError::into_inner),
    );
    (tally, records)
}

impl LoadGenerator {
    async fn run_request_stream(self, stream: RequestStream, nth: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed ^ (nth << 32));
        let end = self.start + self.options.duration;
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
            let work_ms = random.random_range(stream.work_ms.0..=stream.work_ms.1);
            let repeated = random.random::<f64>() < stream.repeat;
            let entry = random.random_range(0..self.clients.len());
            sleep_until(due).await;
            let (generator, stream) = (self.clone(), stream.clone());
            open.spawn(async move {
                let id = format!("{}-{}-{number}", stream.name, generator.options.seed);
                let request = PendingRequest {
                    id,
                    key,
                    work_ms,
                    repeated,
                    entry,
                    due,
                };
                generator.run_request(&stream, request).await;
            });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    async fn run_request(&self, stream: &RequestStream, request: PendingRequest) {
        let other = (request.entry + 1) % self.clients.len();
        let (first, second) = if request.repeated {
            let repeat = self.send(stream, &request, other);
            let (first, second) = tokio::join!(self.send(stream, &request, request.entry), repeat);
            (first, Some(second))
        } else {
            (self.send(stream, &request, request.entry).await, None)
        };
        let elapsed = request.due.elapsed();
        let replies: Vec<&Reply> = std::iter::once(&first).chain(&second).collect();
        let name = format!("{}/{}", stream.team, request.id);
        let mismatched = replies.iter().any(|reply| {
            reply.outcome == Outcome::Class(Class::Done)
                && !String::from_utf8_lossy(&reply.body).starts_with(&format!("{name} "))
        });
        let outcomes = replies.iter().map(|reply| reply.outcome).collect();
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.record(&stream.name, first.outcome, elapsed);
        drop(tally);
        let record = RequestRecord {
            id: name,
            idempotent: stream.idempotent,
            repeated: request.repeated,
            outcomes,
            mismatched,
        };
        self.records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }

    async fn send(&self, stream: &RequestStream, request: &PendingRequest, entry: usize) -> Reply {
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
        let body = Bytes::from(format!("work_ms={}", request.work_ms));
        let path = format!("/v1/requests/{}", request.id);
        let timeout = Duration::from_millis(stream.deadline_ms) + DEADLINE_GRACE;
        sleep(self.latency).await;
        let mut reply = Reply {
            outcome: Outcome::NotSent,
            status: 0,
            body: Bytes::new(),
        };
        // Like a load balancer, skips entries that accept no connection.
        for nth in 0..self.clients.len() {
            let client = &self.clients[(entry + nth) % self.clients.len()];
            reply = client
                .call(Method::POST, &path, &headers, body.clone(), timeout)
                .await;
            if reply.outcome != Outcome::NotSent {
                break;
            }
        }
        sleep(self.latency).await;
        reply
    }

    async fn run_job_stream(self, stream: JobStream) {
        let mut open = JoinSet::new();
        for number in 0..stream.count {
            let due_s = stream.at_s + stream.every_s * f64::from(number);
            let due = self.start + Duration::from_secs_f64(due_s);
            let (generator, stream) = (self.clone(), stream.clone());
            open.spawn(async move {
                sleep_until(due).await;
                let outcome = generator.run_job(&stream, number).await;
                let mut tally = generator
                    .tally
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                tally.record(&stream.name, outcome, due.elapsed());
            });
        }
        while open.join_next().await.is_some() {}
    }

    /// Submits a job and waits until it is over or, for a service, until all its tasks are running.
    async fn run_job(&self, stream: &JobStream, number: u32) -> Outcome {
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
        let submitted = self
            .call_with_retries(Method::PUT, &path, body.to_string())
            .await;
        if submitted.outcome != Outcome::Class(Class::Done) {
            return submitted.outcome;
        }
        let deadline = Instant::now() + JOB_TIMEOUT;
        let mut withdrawn = false;
        while Instant::now() < deadline {
            let reply = self
                .call_with_retries(Method::GET, &path, String::new())
                .await;
            let state: Result<wire::State, _> = serde_json::from_slice(&reply.body);
            let Ok(state) = state else {
                return reply.outcome;
            };
            if state.phase == wire::Phase::Failed {
                return Outcome::NoAnswer;
            }
            let running = stream.shape == wire::Shape::Service && state.running == stream.tasks;
            if stream.withdraw && state.running > 0 && !withdrawn {
                withdrawn = true;
                self.call_with_retries(Method::DELETE, &path, String::new())
                    .await;
            }
            if state.phase.is_over() || running {
                return Outcome::Class(Class::Done);
            }
            sleep(Duration::from_millis(50)).await;
        }
        Outcome::NoAnswer
    }

    /// Makes a call about a job, which is idempotent, through the entries in turn until it is done or
    /// refused, 20 times at most.
    async fn call_with_retries(&self, method: Method, path: &str, body: String) -> Reply {
        let mut last = None;
        for nth in 0..20 {
            let client = &self.clients[nth % self.clients.len()];
            let body = Bytes::from(body.clone());
            let reply = client
                .call(method.clone(), path, &[], body, JOB_TIMEOUT)
                .await;
            match reply.outcome {
                Outcome::Class(Class::Done | Class::Refused) => return reply,
                _ => last = Some(reply),
            }
            sleep(Duration::from_millis(500)).await;
        }
        last.unwrap_or(Reply {
            outcome: Outcome::NoAnswer,
            status: 0,
            body: Bytes::new(),
        })
    }
}

/// One request of a stream.
struct PendingRequest {
    id: String,
    key: u32,
    work_ms: u64,
    repeated: bool,
    entry: usize,
    due: Instant,
}

fn rate(stream: &RequestStream, since: f64) -> f64 {
    let burst = stream
        .burst
        .filter(|b| (b.at_s..b.at_s + b.for_s).contains(&since));
    stream.rate * burst.map_or(1.0, |b| b.times)
}
