//! Waits of hosts and owners for answers that can't come any more, as the ownership, the connection or the host has ended.

mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use host::access::{Caller, Revocation};
use host::wire::{Call, FromOwner, Heartbeat, Receiver, Sender, ToOwner};
use host::{Host, JobStatus, Settings, StoreTables, Submitted};
use pool::{AdvisorPolicy, Job, Policy, Progress, State, Step};
use resource::Size;
use telemetry::Shutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use platform::{FakePlatform, POOL_PART, WORKERS, WorkerDecoder};

const JOB: &str = "0000000000000001";
/// Callers wait this long for answers.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
/// What needs no further answer ends within this time.
const PROMPTLY: Duration = Duration::from_millis(100);
/// Time between two heartbeats of an owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of waits that a test depends on, and of a host's end.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn deadline() -> Instant {
    Instant::now() + CALLER_TIMEOUT
}

fn job(id: &str) -> Job {
    let step = Step {
        count: 1,
        size: Size::new(100, 100, 0),
        estimate: 1_000,
        ..Step::default()
    };
    Job {
        id: id.into(),
        queue: "q".to_owned(),
        steps: vec![step],
        ..Job::default()
    }
}

fn caller() -> Caller {
    Caller::of_job(&job(JOB))
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free");
    listener.local_addr().expect("bound")
}

fn settings(id: &str, address: SocketAddr) -> Settings {
    Settings {
        id: id.to_owned(),
        address,
        data_centre: "a".to_owned(),
        region: "a".to_owned(),
        processors: 1.0,
        link_mbps: 1_000.0,
        store_tables: StoreTables {
            catalog: ("op".to_owned(), "catalog".to_owned()),
            workers: WORKERS.to_owned(),
        },
        worker_heartbeat: Duration::from_millis(1_500),
        pool: pool::Options::default(),
        workers_per_pool: 100,
        max_row_bytes: 60_000,
        shutdown_grace: Duration::from_secs(6),
        catalog_deadline: Duration::from_secs(10),
        revocation: Revocation::default(),
    }
}

/// A running host on a fake platform.
struct TestHost {
    host: Arc<Host>,
    stop: Shutdown,
    platform: FakePlatform,
    address: SocketAddr,
}

impl TestHost {
    async fn start(platform: FakePlatform) -> Self {
        Self::start_named("h0", platform).await
    }

    async fn start_named(id: &str, platform: FakePlatform) -> Self {
        let address = free_address().await;
        let stop = Shutdown::default();
        let host = Host::new(
            settings(id, address),
            platform.store.clone(),
            platform.workers.clone(),
            platform.advisor.clone(),
            Arc::new(WorkerDecoder),
            stop.clone(),
        );
        host.record_store_call(true, Duration::from_millis(1));
        let running = Arc::clone(&host);
        stop.spawn(async move { running.run().await });
        Self {
            host,
            stop,
            platform,
            address,
        }
    }

    /// Starts a host that owns the only pool, which has a job.
    async fn start_owner(platform: FakePlatform) -> Self {
        let host = Self::start(platform).await;
        wait_until("the host owns the pool", || host.host.owner(0).is_some()).await;
        let submitted = host.host.submit(job(JOB), deadline()).await;
        assert_eq!(submitted, Submitted::Accepted);
        host
    }

    /// Starts a cancellation that waits until the owner has stored it; returns it with its deadline.
    async fn start_cancellation(&self, limit: Duration) -> (JoinHandle<JobStatus>, Instant) {
        let (host, store) = (Arc::clone(&self.host), &self.platform.store);
        wait_until("the owner has the job", || host.pending("q") == Some(1)).await;
        store.hold(POOL_PART);
        let until = Instant::now() + limit;
        let call = tokio::spawn(async move { host.cancel(JOB, &caller(), until).await });
        let is_being_stored = || store.unanswered() > 0;
        wait_until("the cancellation is being stored", is_being_stored).await;
        (call, until)
    }

    /// Makes another host the owner.
    fn replace_owner(&self) {
        let store = &self.platform.store;
        let row = store.value("owner", POOL_PART, "owner").expect("written");
        let mut row: serde_json::Value = serde_json::from_slice(&row).expect("JSON");
        row["epoch"] = (row["epoch"].as_u64().expect("a number") + 1).into();
        row["host"] = "h1".into();
        store.put(("owner", POOL_PART, "owner"), row.to_string().into());
        store.release();
    }

    /// Ends the host, and asserts that it needs no answer for that.
    async fn assert_ends_promptly(&self) {
        let began = Instant::now();
        let joined = timeout(WAIT_LIMIT, self.stop.join()).await;
        joined.expect("the host ends");
        assert!(began.elapsed() < PROMPTLY, "after {:?}", began.elapsed());
    }
}

/// The end of a link to the owner on a host.
struct LinkToOwner {
    sender: Sender<ToOwner>,
    calls: u64,
    _receiver: Receiver<FromOwner>,
}

impl LinkToOwner {
    async fn connect(host: &TestHost) -> Self {
        let stream = TcpStream::connect(host.address).await.expect("it listens");
        let (read, write) = stream.into_split();
        let mut link = Self {
            sender: Sender::new(write),
            calls: 0,
            _receiver: Receiver::new(read),
        };
        link.send(&ToOwner::Hello {
            host: "h1".to_owned(),
            address: host.address,
            pool: 0,
            epoch: host.host.owner(0).expect("it is the owner").epoch(),
            processors: 1.0,
            link_mbps: 1_000.0,
            sent: host::clock::now(),
        })
        .await;
        link
    }

    async fn send(&mut self, message: &ToOwner) {
        self.sender.feed(message).await.expect("sent");
        self.sender.flush().await.expect("sent");
    }

    async fn call(&mut self, call: Call) {
        self.calls += 1;
        self.send(&ToOwner::Call(self.calls, call)).await;
    }
}

/// The outcome of a call, which has to end.
async fn outcome(call: JoinHandle<JobStatus>) -> JobStatus {
    let ended = timeout(WAIT_LIMIT, call).await;
    ended.expect("the call ends").expect("no panic")
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = timeout(WAIT_LIMIT, waiting).await;
    waited.unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Guards against a cancellation that goes on waiting for an owner which was replaced and will store nothing any more.
#[tokio::test(start_paused = true)]
async fn a_cancellation_goes_on_by_the_store_when_the_ownership_ends() {
    let host = TestHost::start_owner(FakePlatform::default()).await;
    let (call, _) = host.start_cancellation(CALLER_TIMEOUT).await;
    host.replace_owner();
    let began = Instant::now();
    let status = outcome(call).await;
    assert_eq!(status, JobStatus::Known(State::Cancelled));
    assert!(began.elapsed() < PROMPTLY, "after {:?}", began.elapsed());
}

/// Guards against a query for a state that goes on waiting for an owner which was replaced and will store nothing any more.
#[tokio::test(start_paused = true)]
async fn a_query_for_a_state_goes_on_by_the_store_when_the_ownership_ends() {
    let host = TestHost::start_owner(FakePlatform::with_worker(0)).await;
    let (cancellation, _) = host.start_cancellation(CALLER_TIMEOUT).await;
    let asked = Arc::clone(&host.host);
    let call = tokio::spawn(async move { asked.state(JOB, &caller()).await });
    sleep(PROMPTLY).await;
    assert!(!call.is_finished(), "the state is being stored");
    host.replace_owner();
    let began = Instant::now();
    let status = outcome(call).await;
    assert!(matches!(status, JobStatus::Known(_)), "{status:?}");
    assert!(began.elapsed() < PROMPTLY, "after {:?}", began.elapsed());
    outcome(cancellation).await;
}

/// Guards against a cancellation that waits longer for the owner on its own host than its caller does.
#[tokio::test(start_paused = true)]
async fn a_cancellation_waits_for_the_owner_on_its_host_until_its_deadline() {
    let host = TestHost::start_owner(FakePlatform::default()).await;
    let limit = Duration::from_millis(300);
    let (call, until) = host.start_cancellation(limit).await;
    let status = outcome(call).await;
    assert_eq!(status, JobStatus::Known(State::Cancelled), "by the store");
    assert!(Instant::now() < until + PROMPTLY);
}

/// Starts a cancellation through a host whose link to the owner ends before the owner has stored it.
async fn cancel_at_lost_owner() -> (TestHost, JoinHandle<JobStatus>) {
    let platform = FakePlatform::default();
    let owner = TestHost::start_owner(platform.clone()).await;
    let other = TestHost::start_named("h1", platform).await;
    let host = Arc::clone(&other.host);
    wait_until("the hosts are connected", || host.pending("q") == Some(1)).await;
    other.platform.store.hold(POOL_PART);
    let call = tokio::spawn(async move { host.cancel(JOB, &caller(), deadline()).await });
    wait_until("the owner has cancelled the job", || {
        other.host.pending("q") == Some(0)
    })
    .await;
    assert!(!call.is_finished(), "the cancellation isn't stored");
    owner.stop.join().await;
    (other, call)
}

/// Waits until a host that has taken over the pool has stored that the job is cancelled.
async fn assert_next_owner_cancels(host: &TestHost) {
    let is_cancelled = || {
        let progress = host.platform.store.value("progress", POOL_PART, JOB);
        let progress = progress.map(|it| serde_json::from_slice::<Progress>(&it));
        progress.is_some_and(|it| it.expect("readable").state == State::Cancelled)
    };
    wait_until("the job is cancelled", is_cancelled).await;
}

/// Guards against a cancellation that is lost with an owner which had taken it and not stored it.
#[tokio::test(start_paused = true)]
async fn the_next_owner_reads_a_cancellation_that_the_last_one_did_not_store() {
    let (host, call) = cancel_at_lost_owner().await;
    let status = outcome(call).await;
    assert_eq!(status, JobStatus::Known(State::Cancelled));
    assert!(host.host.owner(0).is_none(), "no host owns the pool yet");
    host.platform.store.release();
    assert_next_owner_cancels(&host).await;
}

/// Guards against a cancellation that the next owner doesn't learn of, as it is written after that owner has read the jobs.
#[tokio::test(start_paused = true)]
async fn the_next_owner_follows_a_cancellation_that_the_last_one_did_not_store() {
    let (host, call) = cancel_at_lost_owner().await;
    let store = &host.platform.store;
    store.release();
    store.hold("jobs-");
    wait_until("the next owner has read the jobs", || {
        host.host.owner(0).is_some() && host.host.pending("q") == Some(1)
    })
    .await;
    assert!(!call.is_finished(), "the cancellation isn't written");
    store.release();
    let status = outcome(call).await;
    assert_eq!(status, JobStatus::Known(State::Cancelled));
    assert_next_owner_cancels(&host).await;
}

/// Guards against commands to workers that don't answer, which keep a host from ending.
#[tokio::test(start_paused = true)]
async fn a_host_ends_although_workers_answer_no_commands() {
    let host = TestHost::start_owner(FakePlatform::with_worker(1_000)).await;
    let starts = &host.platform.workers.starts;
    wait_until("a task is being started", || {
        starts.load(Ordering::Relaxed) > 0
    })
    .await;
    host.assert_ends_promptly().await;
}

/// Guards against calls of other hosts that wait for the store, which keep a host from ending.
#[tokio::test(start_paused = true)]
async fn an_owner_ends_although_calls_of_other_hosts_wait_for_the_store() {
    let host = TestHost::start_owner(FakePlatform::default()).await;
    let store = &host.platform.store;
    wait_until("the owner has the job", || {
        host.host.pending("q") == Some(1)
    })
    .await;
    let mut link = LinkToOwner::connect(&host).await;
    store.silence();
    link.call(Call::Cancel(JOB.to_owned(), caller())).await;
    link.call(Call::CatalogVersion).await;
    let before = store.unanswered();
    link.call(Call::Insert(0, Box::new(job("0000000000000002"))))
        .await;
    wait_until("the job is being inserted", || store.unanswered() > before).await;
    host.assert_ends_promptly().await;
}

/// Guards against an advisor query of an owner that keeps its host from ending.
#[tokio::test(start_paused = true)]
async fn an_owner_ends_although_the_advisor_is_silent() {
    let host = TestHost::start_owner(FakePlatform::with_worker(1_000)).await;
    let policy = Policy {
        advice: Some(AdvisorPolicy::default()),
        ..Policy::default()
    };
    let job = Job {
        policy,
        ..job("0000000000000002")
    };
    let submitted = host.host.submit(job, deadline()).await;
    assert_eq!(submitted, Submitted::Accepted);
    let queries = &host.platform.advisor.queries;
    let is_waiting = || queries.load(Ordering::Relaxed) > 0;
    wait_until("the owner queries the advisor", is_waiting).await;
    host.assert_ends_promptly().await;
}

/// Starts a host that follows another one as the owner of the pool and receives these messages from it, while store and advisor are
/// silent, and waits until `is_waiting`.
async fn start_follower(
    messages: &[FromOwner],
    is_waiting: impl Fn(&FakePlatform) -> bool,
) -> TestHost {
    let platform = FakePlatform::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free");
    platform.put_owner("h1", listener.local_addr().expect("bound"));
    let host = TestHost::start(platform).await;
    let (stream, _) = listener.accept().await.expect("the host connects");
    let (_read, write) = stream.into_split();
    let mut sender = Sender::<FromOwner>::new(write);
    host.platform.store.silence();
    let owner = async {
        for message in messages {
            sender.feed(message).await.expect("sent");
        }
        loop {
            sender.flush().await.expect("sent");
            sleep(HEARTBEAT_INTERVAL).await;
            let heartbeat = FromOwner::Heartbeat(Heartbeat::default());
            sender.feed(&heartbeat).await.expect("sent");
        }
    };
    tokio::select! {
        () = owner => {}
        () = wait_until("the host waits", || is_waiting(&host.platform)) => {}
    }
    host
}

/// Guards against an advisor query for the owner that keeps a host from ending.
#[tokio::test(start_paused = true)]
async fn a_host_ends_although_the_advisor_is_silent() {
    let query = FromOwner::Advise {
        number: 1,
        stage: (JOB.to_owned(), 0, 0),
        workers: Vec::new(),
        takes: 1_000,
    };
    let is_waiting = |platform: &FakePlatform| platform.advisor.queries.load(Ordering::Relaxed) > 0;
    let host = start_follower(&[query], is_waiting).await;
    host.assert_ends_promptly().await;
}

/// Guards against a check whether the store serves a host, which keeps the host from ending.
#[tokio::test(start_paused = true)]
async fn a_host_ends_although_the_store_is_silent() {
    let heartbeat = FromOwner::Heartbeat(Heartbeat {
        store_failing: true,
        ..Heartbeat::default()
    });
    let is_waiting = |platform: &FakePlatform| platform.store.unanswered_checks() > 0;
    let host = start_follower(&[heartbeat], is_waiting).await;
    host.assert_ends_promptly().await;
}
