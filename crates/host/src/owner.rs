//! The owner of the pool.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{info, warn};
use pool::{Ask, Job, Ms, Order, Pool, Progress, State, WorkerId};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::election::{NEAR_MS, read_owner};
use crate::follow::{Change, follow, list};
use crate::host::{Host, lock};
use crate::insert::{Inserted, insert};
use crate::outside::{Allowed, Page, Row};
use crate::peers::BEAT;
use crate::rows::{CANCEL, JOBS, OwnerRow, PROGRESS, job_parts};
use crate::wire::{Beat, FromOwner, Reply, ToOwner};
use crate::{session, writer};

/// Jobs are told to the owner directly; the table tells those whose hosts could not.
const JOBS_PACE: Duration = Duration::from_millis(200);
/// Rows of workers change with each of their heartbeats, some thirty a second for 48 workers. A worker that drains gets
/// nothing new from 2.5 s after its row says so.
const WORKERS_PACE: Duration = Duration::from_millis(350);
/// Longest time between two plans: leases, doubts and paces are looked at so often.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two plans: news that comes together is planned together.
const GAP: Duration = Duration::from_millis(4);
/// A caller that cancels waits this long for the note of it.
const CANCEL_WAIT: Duration = Duration::from_millis(1_500);
/// An owner that the store has not served for this long gives the pool to a host that it serves.
const UNSERVED: Ms = 800;
/// An owner that works well gives the pool to a better placed host only after this long: hosts come and go at a start.
const SETTLED: Ms = 5_000;
/// Time between two looks at the owner's row.
const LOOK: Duration = Duration::from_millis(1_000);
/// Time between two lines about what inherited jobs wait for.
const TELL: Ms = 500;
/// A host that was urged to take the pool has this long to do so before another is urged.
const URGE: Ms = 1_000;
/// A host that was not heard for this long gets no questions.
const QUIET: Ms = 800;

/// Another host, as the owner sees it.
struct Member {
    number: u64,
    processors: f64,
    to: mpsc::Sender<FromOwner>,
    heard: Ms,
    served: bool,
    away: u64,
    /// The advisor is done with its questions by then.
    busy: Ms,
}

/// How well a host is placed to own the pool.
#[derive(Clone, Copy, Debug)]
struct Post {
    /// It is in the store's region.
    near: bool,
    /// Its share of a processor.
    processors: f64,
}

impl Post {
    /// The higher, the better. A host near the store may have half the processor of one that is far.
    fn rank(self) -> f64 {
        if self.near {
            self.processors * 2.0
        } else {
            self.processors
        }
    }

    /// Whether it is so much better placed that handing the pool over pays: a change costs about a second of starts.
    fn better(self, than: Self) -> bool {
        self.rank() >= than.rank() * 1.9
    }
}

impl Member {
    fn post(&self) -> Post {
        Post {
            near: self.away <= NEAR_MS,
            processors: self.processors,
        }
    }
}

/// A question that another host asks the advisor.
struct Question {
    ask: Ask,
    until: Ms,
}

/// The owner of the pool.
pub struct Owner {
    host: Arc<Host>,
    epoch: u64,
    pub(crate) pool: Mutex<Pool>,
    /// There is news to plan for.
    pub(crate) wake: Notify,
    /// There is something to store.
    pub(crate) dirty: Notify,
    /// Something was stored.
    pub(crate) stored: Notify,
    pub(crate) over: CancellationToken,
    members: Mutex<FxHashMap<String, Member>>,
    numbers: AtomicU64,
    questions: Mutex<FxHashMap<u64, Question>>,
    /// The advisor is done with this host's own questions by then.
    busy: AtomicU64,
    /// Jobs are known: callers may be told what isn't there.
    loaded: AtomicBool,
    /// The store refuses or doesn't answer this owner's writes since then; 0 if it does.
    pub(crate) unserved: AtomicU64,
    sessions: Mutex<FxHashSet<WorkerId>>,
}

impl Owner {
    /// Owns the pool until another host does, or this one leaves.
    pub(crate) async fn run(
        host: &Arc<Host>,
        row: OwnerRow,
        former: Vec<String>,
        version: u64,
        listed: Page,
    ) {
        let owner = Arc::new(Self {
            host: Arc::clone(host),
            epoch: row.epoch,
            pool: Mutex::new(Pool::new(host.settings.pool.clone())),
            wake: Notify::new(),
            dirty: Notify::new(),
            stored: Notify::new(),
            over: CancellationToken::new(),
            members: Mutex::default(),
            numbers: AtomicU64::new(1),
            questions: Mutex::default(),
            busy: AtomicU64::new(0),
            loaded: AtomicBool::new(false),
            unserved: AtomicU64::new(0),
            sessions: Mutex::default(),
        });
        host.set_owner(Some(Arc::clone(&owner)));
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&owner).beat());
        tasks.spawn(Arc::clone(&owner).hand_over());
        tasks.spawn(Arc::clone(&owner).look());
        tasks.spawn(Arc::clone(&owner).work(row, former, version, listed));
        tokio::select! {
            () = owner.over.cancelled() => {}
            () = host.stop.ended() => {}
        }
        owner.over.cancel();
        host.set_owner(None);
        tasks.shutdown().await;
        info!(epoch = owner.epoch; "gave up the pool");
    }

    /// Its epoch, the fencing token of its orders.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn host(&self) -> &Arc<Host> {
        &self.host
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }

    /// When the host is stopped, or the store doesn't serve it, urges another host to take the pool.
    ///
    /// The owner goes on until the other has it, and learns that from the workers or the store. If it stopped before, and
    /// the other couldn't write the owner's row (a part of the store may be down for all), nobody would own the pool.
    async fn hand_over(self: Arc<Self>) {
        let began = clock::now();
        let mut urged: FxHashMap<String, Ms> = FxHashMap::default();
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let now = clock::now();
            let since = self.unserved.load(Ordering::Relaxed);
            let unserved = since > 0 && now.saturating_sub(since) > UNSERVED;
            let recent = urged.values().any(|&at| now.saturating_sub(at) < URGE);
            if recent {
                continue;
            }
            let leaving = unserved || self.host.stop.is_draining();
            let settled =
                self.loaded.load(Ordering::Relaxed) && now.saturating_sub(began) > SETTLED;
            if !leaving && !settled {
                continue;
            }
            let own = Post {
                near: self.host.away() <= NEAR_MS,
                processors: self.host.settings.processors,
            };
            let members = lock(&self.members);
            let heir = members
                .iter()
                .filter(|(_, member)| member.served && now.saturating_sub(member.heard) < QUIET)
                .filter(|(_, member)| leaving || member.post().better(own))
                .min_by(|(a, a_is), (b, b_is)| {
                    let urged = |name| urged.get(name).copied().unwrap_or(0);
                    (urged(*a).cmp(&urged(*b)))
                        .then_with(|| b_is.post().rank().total_cmp(&a_is.post().rank()))
                        .then_with(|| a.cmp(b))
                });
            if let Some((name, member)) = heir {
                info!(heir = name.as_str(), epoch = self.epoch, unserved = unserved; "urges a host to take the pool");
                drop(member.to.try_send(FromOwner::Take { epoch: self.epoch }));
                urged.insert(name.clone(), now);
            }
        }
    }

    /// Looks whether another host has taken the pool. An owner usually learns that from the workers or from a write, but
    /// one that can't reach either would go on telling other hosts that it is the owner.
    async fn look(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let found = read_owner(&self.host).await.flatten();
            if let Some((row, _)) = found
                && row.epoch > self.epoch
            {
                warn!(epoch = self.epoch, newer = row.epoch, owner = row.host; "another host owns the pool");
                self.over.cancel();
            }
        }
    }

    /// Takes up jobs and workers, then works.
    async fn work(self: Arc<Self>, row: OwnerRow, former: Vec<String>, version: u64, listed: Page) {
        let began = clock::now();
        let after = listed.version;
        let jobs = self.load(&listed, &row, &former, version).await;
        self.loaded.store(true, Ordering::Relaxed);
        let took = clock::now().saturating_sub(began);
        metrics::counter!("lentilyoke_takeovers_total").increment(1);
        metrics::histogram!("lentilyoke_takeover_ms").record(took as f64);
        info!(epoch = self.epoch, ms = took; "jobs are known");
        let parts: Vec<String> = job_parts().collect();
        let common = [String::new()];
        let store = Arc::clone(&self.host.store);
        let places = self.host.settings.places.clone();
        let on_jobs = follow(
            store.as_ref(),
            JOBS,
            &parts,
            Some(jobs),
            JOBS_PACE,
            |change| {
                self.jobs_changed(change);
            },
        );
        let on_workers = follow(
            store.as_ref(),
            &places.workers,
            &common,
            Some(after),
            WORKERS_PACE,
            |change| {
                self.workers_changed(change);
            },
        );
        tokio::join!(
            on_jobs,
            on_workers,
            writer::run(&self, row, version),
            self.drive(),
        );
    }

    /// Reads all jobs, and takes up the workers; tells up to which transaction the jobs were read.
    async fn load(
        self: &Arc<Self>,
        listed: &Page,
        owned: &OwnerRow,
        former: &[String],
        taken: u64,
    ) -> u64 {
        let parts: Vec<String> = job_parts().collect();
        // What the former owner stored is all there as of the transaction by which this one took the pool. Reads may lag
        // behind; without that bound, tasks whose ends were noted would start again.
        let own = [Host::PART.to_owned()];
        let (jobs, progress) = loop {
            let store = &self.host.store;
            let (jobs, progress) = tokio::join!(
                list(store.as_ref(), JOBS, &parts, taken),
                list(store.as_ref(), PROGRESS, &own, taken),
            );
            match (jobs, progress) {
                (Ok(jobs), Ok(progress)) => break (jobs, progress),
                (Err(error), _) | (_, Err(error)) => {
                    warn!(error:% = error; "jobs can't be read yet");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        };
        let courses: FxHashMap<&str, Progress> = progress
            .rows
            .iter()
            .filter_map(|row| {
                let course = serde_json::from_slice(row.value.as_deref()?).ok()?;
                Some((row.key.as_str(), course))
            })
            .collect();
        {
            let (now, unix) = (clock::now(), clock::unix());
            let mut pool = lock(&self.pool);
            for row in jobs.rows.iter().filter(|row| !row.key.starts_with(CANCEL)) {
                if let Some(job) = parse_job(row) {
                    let course = courses.get(row.key.as_str());
                    pool.adopt(now, unix, Arc::new(job), course, true);
                }
            }
            for row in jobs.rows.iter().filter(|row| row.key.starts_with(CANCEL)) {
                pool.cancel(now, unix, &row.key[CANCEL.len()..]);
            }
        }
        self.workers_changed(Change::All(listed.clone()));
        let names =
            |ids: &[String]| -> Vec<WorkerId> { ids.iter().map(|id| id.as_str().into()).collect() };
        let mut pool = lock(&self.pool);
        pool.enroll(&names(&owned.roster));
        // Only workers that the former owner might use count: the list may be old, and name some that are gone.
        pool.inherit(clock::now(), names(former), &owned.silent);
        jobs.version
    }

    fn jobs_changed(&self, change: Change) {
        let rows = match change {
            Change::All(page) => page.rows,
            Change::Some(rows) => rows,
            Change::Failed(error) => {
                warn!(error:% = error; "jobs are not followed for now");
                return;
            }
        };
        if rows.is_empty() {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        let mut pool = lock(&self.pool);
        for row in rows.iter().filter(|row| row.value.is_some()) {
            if let Some(id) = row.key.strip_prefix(CANCEL) {
                pool.cancel(now, unix, id);
            } else if !pool.knows(&row.key)
                && let Some(job) = parse_job(row)
            {
                pool.adopt(now, unix, Arc::new(job), None, false);
            }
        }
        drop(pool);
        self.wake.notify_one();
        self.dirty.notify_one();
    }

    fn workers_changed(self: &Arc<Self>, change: Change) {
        let (rows, all) = match change {
            Change::All(page) => (page.rows, true),
            Change::Some(rows) => (rows, false),
            Change::Failed(error) => {
                warn!(error:% = error; "workers are not followed for now");
                return;
            }
        };
        let now = clock::now();
        let mut pool = lock(&self.pool);
        if all {
            let there: FxHashSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
            let gone: Vec<WorkerId> = pool
                .workers()
                .filter(|worker| !there.contains(&*worker.id))
                .map(|worker| Arc::clone(&worker.id))
                .collect();
            for id in gone {
                pool.unlisted(&id);
            }
        }
        for row in &rows {
            let news = row
                .value
                .as_deref()
                .and_then(|value| self.host.decode.worker(&row.key, value));
            match news {
                Some(news) => {
                    let id: WorkerId = row.key.as_str().into();
                    pool.listed(now, &id, news);
                    if lock(&self.sessions).insert(Arc::clone(&id)) {
                        let owner = Arc::clone(self);
                        self.host.stop.spawn(async move {
                            session::run(&owner, &id).await;
                            lock(&owner.sessions).remove(&id);
                        });
                    }
                }
                None if row.value.is_none() => pool.unlisted(&row.key),
                None => warn!(row = row.key.as_str(); "a row names no worker"),
            }
        }
        drop(pool);
        self.dirty.notify_one();
    }

    /// Plans and gives orders.
    async fn drive(self: &Arc<Self>) {
        let mut told = clock::now();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(TICK) => {}
            }
            let (orders, unsaved, deposed) = {
                let mut pool = lock(&self.pool);
                let orders = pool.plan(clock::now(), clock::unix());
                (orders, pool.unsaved(), pool.deposed())
            };
            if clock::now().saturating_sub(told) > TELL {
                told = clock::now();
                self.tell_unseen();
            }
            if deposed {
                warn!(epoch = self.epoch; "a worker obeys a newer owner");
                self.over.cancel();
                return;
            }
            for order in orders {
                self.give(order);
            }
            if unsaved {
                self.dirty.notify_one();
            }
            self.expire_questions();
            tokio::time::sleep(GAP).await;
        }
    }

    fn tell_unseen(&self) {
        let pool = lock(&self.pool);
        if let Some(first) = pool.unseen().first() {
            let (count, proved) = (pool.unseen().len(), pool.proved(clock::now()));
            warn!(epoch = self.epoch, workers = count, first = &**first, majority = proved; "inherited jobs wait for workers");
        }
    }

    fn address(&self, id: &str) -> Option<String> {
        let pool = lock(&self.pool);
        pool.worker(id).map(|worker| worker.news.address.clone())
    }

    /// Carries an order out, beside others.
    fn give(self: &Arc<Self>, order: Order) {
        let owner = Arc::clone(self);
        let workers = Arc::clone(&self.host.workers);
        let epoch = self.epoch;
        match order {
            Order::Start(start) => {
                let Some(address) = self.address(&start.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let began = clock::now();
                    let answer = workers.start(&address, epoch, &start).await;
                    let now = clock::now();
                    metrics::counter!("lentilyoke_starts_total", "outcome" => answer.name())
                        .increment(1);
                    let key = &start.task;
                    info!(
                        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
                        task = key.index, run = start.run, worker = &*start.worker, epoch = epoch,
                        outcome:? = answer, ms = now.saturating_sub(began);
                        "start"
                    );
                    lock(&owner.pool).answered(now, &start, answer);
                    if answer != pool::Answer::Running {
                        owner.wake.notify_one();
                    }
                });
            }
            Order::Stop(stop) => {
                let Some(address) = self.address(&stop.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let answer = workers.stop(&address, epoch, &stop).await;
                    let key = &stop.task;
                    info!(
                        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
                        task = key.index, run = stop.run, worker = &*stop.worker, epoch = epoch,
                        why = stop.why, outcome:? = answer;
                        "stop"
                    );
                    lock(&owner.pool).stopped(clock::now(), &stop, answer);
                });
            }
            Order::Pace(pace) => {
                let Some(address) = self.address(&pace.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let confirmed = workers.pace(&address, epoch, &pace).await;
                    let key = &pace.task;
                    info!(
                        job = &*key.stage.job, step = key.stage.step, task = key.index, run = pace.run,
                        worker = &*pace.worker, percent = pace.percent, confirmed = confirmed;
                        "pace"
                    );
                    if !confirmed {
                        lock(&owner.pool).pace_lost(&pace);
                    }
                });
            }
            Order::Ask(ask) => self.ask(ask),
        }
    }

    /// Has the advisor asked by the host that is free soonest: it serves one question at a time for each host.
    fn ask(self: &Arc<Self>, ask: Ask) {
        let now = clock::now();
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let own = self.busy.load(Ordering::Relaxed).max(now);
        let helper = {
            let mut members = lock(&self.members);
            let best = members
                .values_mut()
                .filter(|member| now.saturating_sub(member.heard) < QUIET)
                .min_by_key(|member| member.busy);
            match best {
                Some(member) if member.busy.max(now) < own => {
                    member.busy = member.busy.max(now) + ask.takes;
                    Some(member.to.clone())
                }
                _ => None,
            }
        };
        let takes = Duration::from_millis(ask.takes);
        match helper {
            Some(to) => {
                let key = &ask.stage;
                let message = FromOwner::Advise {
                    number,
                    stage: (key.job.to_string(), key.occurrence, key.step),
                    workers: ask.workers.iter().map(ToString::to_string).collect(),
                    takes: ask.takes,
                };
                let until = now + ask.takes * 3 + 1_000;
                lock(&self.questions).insert(number, Question { ask, until });
                if to.try_send(message).is_err() {
                    self.told_advice(number, None);
                }
            }
            None => {
                self.busy.store(own + ask.takes, Ordering::Relaxed);
                let owner = Arc::clone(self);
                self.host.stop.spawn(async move {
                    let advisor = Arc::clone(&owner.host.advisor);
                    let allowed = advisor.ask(&ask.stage, &ask.workers, takes).await;
                    owner.advised(&ask, allowed.as_ref());
                });
            }
        }
    }

    fn told_advice(&self, number: u64, allowed: Option<&Allowed>) {
        let question = lock(&self.questions).remove(&number);
        if let Some(question) = question {
            self.advised(&question.ask, allowed);
        }
    }

    fn advised(&self, ask: &Ask, allowed: Option<&Allowed>) {
        let outcome = if allowed.is_some() {
            "answered"
        } else {
            "failed"
        };
        metrics::counter!("lentilyoke_advice_total", "outcome" => outcome).increment(1);
        info!(
            job = &*ask.stage.job, step = ask.stage.step, asked = ask.workers.len(), takes = ask.takes,
            allowed = allowed.map_or(-1, |(rows, _)| rows.len() as i64);
            "advice"
        );
        let rows = allowed.map(|(rows, valid)| (rows.as_slice(), *valid));
        lock(&self.pool).advised(clock::now(), ask, rows);
        self.wake.notify_one();
    }

    fn expire_questions(&self) {
        let now = clock::now();
        let late: Vec<u64> = lock(&self.questions)
            .iter()
            .filter(|(_, question)| question.until < now)
            .map(|(&number, _)| number)
            .collect();
        for number in late {
            self.told_advice(number, None);
        }
    }

    /// Tells all hosts that the owner is alive and what they have to know.
    async fn beat(self: Arc<Self>) {
        loop {
            let (pending, full, (used, waiting)) = {
                let pool = lock(&self.pool);
                (pool.pending(), FxHashMap::default(), pool.load())
            };
            metrics::gauge!("lentilyoke_room_used_share").set(used);
            metrics::gauge!("lentilyoke_steps_open").set(waiting as f64);
            metrics::gauge!("lentilyoke_jobs_pending").set(pending.values().sum::<u64>() as f64);
            let beat = Beat {
                epoch: self.epoch,
                catalog: self.host.catalog().map_or(0, |catalog| catalog.version),
                served: self.host.served(),
                pending,
                full,
            };
            let mut alive = 1;
            {
                let now = clock::now();
                let members = lock(&self.members);
                for member in members.values() {
                    drop(member.to.try_send(FromOwner::Beat(beat.clone())));
                    alive += usize::from(now.saturating_sub(member.heard) < QUIET);
                }
            }
            lock(&self.pool).set_askers(alive);
            self.host.hear(beat);
            tokio::time::sleep(BEAT).await;
        }
    }

    /// A host has joined; tells the number of its connection.
    pub(crate) fn joined(&self, name: &str, processors: f64, to: mpsc::Sender<FromOwner>) -> u64 {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        drop(to.try_send(FromOwner::Beat(self.host.heard().beat)));
        lock(&self.members).insert(
            name.to_owned(),
            Member {
                number,
                processors,
                to,
                heard: clock::now(),
                served: false,
                away: u64::MAX,
                busy: 0,
            },
        );
        info!(host = name, epoch = self.epoch; "a host joined the owner");
        number
    }

    /// A host's connection has ended.
    pub(crate) fn left(&self, name: &str, number: u64) {
        let mut members = lock(&self.members);
        if members
            .get(name)
            .is_some_and(|member| member.number == number)
        {
            members.remove(name);
        }
    }

    /// A host said something.
    pub(crate) fn told(
        self: &Arc<Self>,
        name: &str,
        number: u64,
        message: ToOwner,
        to: &mpsc::Sender<FromOwner>,
    ) {
        match message {
            ToOwner::Beat { served, away, .. } => {
                if let Some(member) = lock(&self.members).get_mut(name)
                    && member.number == number
                {
                    member.heard = clock::now();
                    member.served = served;
                    member.away = away;
                }
            }
            ToOwner::Accepted(job) => self.accepted(*job),
            ToOwner::Advised(number, allowed) => {
                let allowed = allowed.map(|(rows, valid)| {
                    let rows = rows
                        .into_iter()
                        .map(|(id, text)| (WorkerId::from(id), text));
                    (rows.collect(), valid)
                });
                self.told_advice(number, allowed.as_ref());
            }
            ToOwner::Ask(number, call) => {
                let (owner, to) = (Arc::clone(self), to.clone());
                self.host.stop.spawn(async move {
                    let reply = owner.answer(call).await;
                    drop(to.send(FromOwner::Told(number, reply)).await);
                });
            }
            ToOwner::Hello { .. } | ToOwner::Hears => {}
        }
    }

    /// A job's row is written: takes it up at once. The feed tells it too, a little later.
    pub(crate) fn accepted(&self, job: Job) {
        if !self.loaded.load(Ordering::Relaxed) {
            return;
        }
        let (now, unix) = (clock::now(), clock::unix());
        lock(&self.pool).adopt(now, unix, Arc::new(job), None, false);
        self.wake.notify_one();
    }

    /// State of a job, as it is stored.
    pub(crate) fn state(&self, id: &str) -> Option<State> {
        lock(&self.pool).state(id)
    }

    /// Cancels a job; answers when that is stored.
    pub(crate) async fn cancel(&self, id: &str) -> Reply {
        if lock(&self.pool)
            .cancel(clock::now(), clock::unix(), id)
            .is_none()
        {
            return Reply::Unknown;
        }
        self.wake.notify_one();
        self.dirty.notify_one();
        let until = Instant::now() + CANCEL_WAIT;
        loop {
            let stored = self.stored.notified();
            match self.state(id) {
                None => return Reply::Unknown,
                Some(state) if state.is_final() => return Reply::Cancelled,
                Some(_) => {}
            }
            if tokio::time::timeout_at(until, stored).await.is_err() {
                return Reply::Unsure;
            }
        }
    }

    /// Inserts a job's row for a host that the store doesn't serve.
    pub(crate) async fn insert(&self, job: Job) -> Reply {
        if !self.host.served() {
            return Reply::Refused;
        }
        let until = Instant::now() + Duration::from_millis(1_000);
        match insert(
            self.host.store.as_ref(),
            &job,
            until,
            self.host.patience(),
            false,
        )
        .await
        {
            Inserted::There => {
                self.accepted(job);
                Reply::Inserted
            }
            Inserted::Refused => Reply::Refused,
            Inserted::Unsure => Reply::Unsure,
        }
    }
}

fn parse_job(row: &Row) -> Option<Job> {
    let job = serde_json::from_slice(row.value.as_deref()?);
    if let Err(error) = &job {
        warn!(row = row.key.as_str(), error:% = error; "a job's row can't be read");
    }
    job.ok()
}
