//! One entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::{Service, home};
use policy::RetryBudget;
use telemetry::{Health, Shutdown, Uptime};
use tokio::sync::Notify;
use wire::{Answer, Class, Fault, Job, Kind, Request, State};

use crate::routes::Applied;
use crate::{Burn, Gate, Ledger, Missed, Table, Upstream};

/// Retries that a team may save up.
const SAVED_RETRIES: f64 = 32.0;
/// First wait before a retry; it doubles with each.
const BACKOFF: Duration = Duration::from_millis(25);
/// Longest time that is spent on finding the owner of a rack. What has no owner after that is
/// answered at once, with a time to come back, rather than held until its deadline.
const SEARCH: Duration = Duration::from_millis(400);

/// One entry: finds the owner of each request's rack and gives one true answer.
pub struct Entry {
    name: String,
    pub(crate) table: Table,
    upstream: Upstream,
    gate: Gate,
    budgets: Mutex<HashMap<String, RetryBudget>>,
    pub(crate) burn: Burn,
    since: Uptime,
    pub(crate) stop: Shutdown,
    pub(crate) health: Health,
    refresh_now: Notify,
    refreshed: Notify,
}

impl Entry {
    /// An entry that knows these placers.
    #[must_use]
    pub fn new(name: &str, placers: Vec<String>, stop: Shutdown) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            table: Table::new(placers),
            upstream: Upstream::default(),
            gate: Gate::default(),
            budgets: Mutex::default(),
            burn: Burn::default(),
            since: Uptime::start(),
            stop,
            health: Health::default(),
            refresh_now: Notify::new(),
            refreshed: Notify::new(),
        })
    }

    /// Whether it is ready for work; set by what it hears of placers.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// Version of the configuration that is applied; 0 if none is.
    #[must_use]
    pub fn version(&self) -> config::Version {
        self.table.version()
    }

    /// Keeps routes and configuration up to date, until it ends.
    pub fn spawn(self: &Arc<Self>, every: Duration) {
        let entry = Arc::clone(self);
        self.stop.spawn(async move {
            loop {
                entry.refresh().await;
                tokio::select! {
                    () = tokio::time::sleep(every) => {}
                    () = entry.refresh_now.notified() => {}
                    () = entry.stop.ended() => return,
                }
            }
        });
    }

    async fn refresh(&self) {
        let Some((placer, ask)) = self.table.ask(&self.name) else {
            return;
        };
        let asked = self.since.elapsed();
        match self.upstream.routes(&placer, ask).await {
            Ok(routes) => self.table.learn(routes, asked),
            Err(_) => {
                self.table.turn();
                self.refresh_now.notify_one();
                tokio::time::sleep(BACKOFF).await;
            }
        }
        self.refreshed.notify_waiters();
        let fresh = self.table.is_fresh(self.since.elapsed());
        self.health.set_ready(fresh && !self.stop.is_draining());
    }

    /// Runs a quick request.
    pub async fn run(&self, request: Request) -> Answer {
        let began = self.since.elapsed();
        let (team, service) = (request.team.clone(), request.service.clone());
        let answer = self.checked(request, began).await;
        self.count(&team, &service, &answer, began);
        answer
    }

    async fn checked(&self, request: Request, began: Duration) -> Answer {
        let applied = match self.serving() {
            Ok(applied) => applied,
            Err(fault) => return fault.into(),
        };
        let cell = &applied.cell;
        let Some(team) = cell.team(&request.team) else {
            return Answer::fault(Kind::UnknownTeam, format!("no team {:?}", request.team));
        };
        let Some(service) = cell.service(&request.service) else {
            return Answer::fault(
                Kind::UnknownService,
                format!("no service {:?}", request.service),
            );
        };
        let Some(rack) = home::key(cell, service, &request.key) else {
            return Answer::fault(Kind::NoOwner, "the region has no rack");
        };
        let Some(mut pass) = self.gate.enter(&request.team, team.concurrency, rack) else {
            let fault = Fault::new(Kind::Busy, "too many requests are under way");
            return fault.with_retry_after(comeback(service)).into();
        };
        let answer = self
            .tries(&request, rack, cell.policy.retry_share, began)
            .await;
        if matches!(answer, Answer::Done(_)) {
            pass.answered(self.since.elapsed().saturating_sub(began));
        }
        answer
    }

    /// Tries the request at its owner, and again where that is safe and may help.
    async fn tries(
        &self,
        request: &Request,
        rack: &str,
        retry_share: f64,
        began: Duration,
    ) -> Answer {
        let expires = began + request.budget();
        let mut ledger = Ledger::default();
        let mut backoff = BACKOFF;
        self.pay(&request.team, retry_share);
        loop {
            let left = expires.saturating_sub(self.since.elapsed());
            if left.is_zero() {
                return ledger.answer(Answer::fault(Kind::Deadline, "the deadline has passed"));
            }
            let budget_ms = (left.as_millis() as u64).max(1);
            let again = Request {
                budget_ms,
                ..request.clone()
            };
            let answer = match self.table.owner(rack) {
                None => Answer::fault(Kind::NoOwner, "the rack has no owner at the moment"),
                Some(owner) => match self.upstream.run(&owner.address, rack, again).await {
                    Ok(answer) => answer,
                    Err(Missed::NotSent) => Answer::fault(Kind::NoOwner, "its owner is gone"),
                    Err(Missed::NoAnswer) => {
                        ledger.lost();
                        Answer::fault(Kind::OwnerLost, "its owner gave no answer")
                    }
                },
            };
            let spent = self.since.elapsed().saturating_sub(began);
            if !may_help(&answer) || spent > SEARCH || !self.may_retry(&request.team, &answer) {
                return ledger.answer(answer);
            }
            metrics::counter!("lentilyoke_retries_total").increment(1);
            self.await_routes(backoff).await;
            backoff *= 2;
        }
    }

    /// Submits a job.
    pub async fn submit(&self, job: Job) -> Result<State, Fault> {
        let team = job.team.clone();
        self.job_call(&team, |address, home| {
            let job = job.clone();
            async move { self.upstream.submit(&address, &home, job).await }
        })
        .await
    }

    /// Tells where a job stands.
    pub async fn watch(&self, team: &str, job: &str) -> Result<State, Fault> {
        self.job_call(team, |address, home| async move {
            self.upstream.watch(&address, &home, team, job).await
        })
        .await
    }

    /// Withdraws a job.
    pub async fn cancel(&self, team: &str, job: &str) -> Result<State, Fault> {
        self.job_call(team, |address, home| async move {
            self.upstream.cancel(&address, &home, team, job).await
        })
        .await
    }

    /// Calls the owner of the team's home rack. Every such call may be made again: a job is known
    /// by its id.
    async fn job_call<F, R>(&self, team: &str, call: F) -> Result<State, Fault>
    where
        F: Fn(String, String) -> R,
        R: Future<Output = Result<Result<State, Fault>, Missed>>,
    {
        let began = self.since.elapsed();
        let applied = self.serving()?;
        let unknown = || Fault::new(Kind::UnknownTeam, format!("there is no team {team:?}"));
        let known = applied.cell.team(team).ok_or_else(unknown)?;
        let home = home::team(&applied.cell, team, known)
            .ok_or_else(|| Fault::new(Kind::NoOwner, "the region has no rack"))?;
        let mut ledger = Ledger::default();
        let mut backoff = BACKOFF;
        loop {
            let result = match self.table.owner(home) {
                None => Err(Fault::new(
                    Kind::NoOwner,
                    "the rack has no owner at the moment",
                )),
                Some(owner) => match call(owner.address, home.to_owned()).await {
                    Ok(result) => result,
                    Err(Missed::NotSent) => Err(Fault::new(Kind::NoOwner, "its owner is gone")),
                    Err(Missed::NoAnswer) => {
                        ledger.lost();
                        Err(Fault::new(Kind::OwnerLost, "its owner gave no answer"))
                    }
                },
            };
            let fault = match result {
                Ok(state) => return Ok(state),
                Err(fault) => fault,
            };
            let answer = Answer::Fault(fault);
            if !may_help(&answer) || self.since.elapsed().saturating_sub(began) > SEARCH {
                return match ledger.answer(answer) {
                    Answer::Fault(fault) => Err(fault),
                    Answer::Done(_) => Err(Fault::new(Kind::OwnerLost, "no answer")),
                };
            }
            self.await_routes(backoff).await;
            backoff *= 2;
        }
    }

    /// The configuration to go by, if the entry may serve.
    fn serving(&self) -> Result<Arc<Applied>, Fault> {
        if self.stop.is_draining() {
            return Err(Fault::new(Kind::Draining, "this entry is stopping"));
        }
        let fresh = self.table.is_fresh(self.since.elapsed());
        let applied = self.table.applied().filter(|_| fresh);
        applied.ok_or_else(|| Fault::new(Kind::NoOwner, "this entry hears of no placer"))
    }

    /// Asks for routes now, and waits for them or for this long.
    async fn await_routes(&self, longest: Duration) {
        let refreshed = self.refreshed.notified();
        self.refresh_now.notify_one();
        drop(tokio::time::timeout(longest, refreshed).await);
        tokio::time::sleep(BACKOFF).await;
    }

    fn pay(&self, team: &str, share: f64) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(team.to_owned());
        let budget = budget.or_insert_with(|| RetryBudget::new(share, SAVED_RETRIES));
        budget.set_share(share);
        budget.deposit();
    }

    /// A try that reached no owner costs nobody anything, so it needs no budget.
    fn may_retry(&self, team: &str, answer: &Answer) -> bool {
        let free = matches!(answer, Answer::Fault(f) if f.kind == Kind::NoOwner);
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        free || budgets.get_mut(team).is_some_and(RetryBudget::try_withdraw)
    }

    fn count(&self, team: &str, service: &str, answer: &Answer, began: Duration) {
        let took = self.since.elapsed().saturating_sub(began);
        let kind = match answer {
            Answer::Done(_) => "done",
            Answer::Fault(fault) => fault.kind.as_str(),
        };
        let class = answer.class().as_str();
        metrics::counter!("lentilyoke_answers_total", "class" => class, "kind" => kind)
            .increment(1);
        metrics::histogram!("lentilyoke_answer_seconds", "class" => class)
            .record(took.as_secs_f64());
        if answer.class() == Class::Refused {
            return;
        }
        let Some(applied) = self.table.applied() else {
            return;
        };
        if let Some(level) = applied.cell.service(service) {
            let good = matches!(answer, Answer::Done(_)) && took <= level.target_latency;
            self.burn.count(service, team, level.objective, good);
        }
    }
}

/// Whether another try may end better: the owner may have changed.
fn may_help(answer: &Answer) -> bool {
    let Answer::Fault(fault) = answer else {
        return false;
    };
    let changing = [
        Kind::NoOwner,
        Kind::NotOwner,
        Kind::NoAuthority,
        Kind::Draining,
        Kind::OwnerLost,
    ];
    changing.contains(&fault.kind)
}

/// When it makes sense to come back: some of what is under way is done by then.
fn comeback(service: &Service) -> Duration {
    service
        .max_run
        .min(Duration::from_secs(1))
        .max(Duration::from_millis(100))
}
