//! Admission, routing and retries of callers' requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use config::{Service, home};
use policy::RetryBudget;
use telemetry::{Health, Phase, Shutdown, Uptime};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wire::{Answer, Class, Fault, Job, Kind, Request, State};

use crate::route_table::AppliedConfig;
use crate::{Admission, AttemptHistory, CallFailure, RouteTable, SloCounts, Upstream};

/// Maximum number of unused retries that a team's retry budget accumulates.
const MAX_SAVED_RETRIES: f64 = 32.0;
/// Initial delay before a retry; doubles with each retry of a request.
const MIN_BACKOFF: Duration = Duration::from_millis(25);
/// Maximum time spent on looking for the owner of a rack. If there is none by then, the request is
/// answered at once, with a time to retry, rather than held until its deadline.
const MAX_OWNER_SEARCH: Duration = Duration::from_millis(400);

/// Forwards each request to the owner of its rack and returns one answer, which never says that a
/// request did not run if it may have run.
pub struct Entry {
    name: String,
    pub(crate) routes: RouteTable,
    upstream: Upstream,
    admission: Admission,
    retry_budgets: Mutex<HashMap<String, RetryBudget>>,
    pub(crate) slo_counts: SloCounts,
    uptime: Uptime,
    pub(crate) shutdown: Shutdown,
    pub(crate) health: Health,
    refresh_now: Notify,
    refreshed: Notify,
    /// Ends the waits of calls for placers.
    calls_end: CancellationToken,
}

impl Entry {
    /// An entry that gets its routes from these placers.
    #[must_use]
    pub fn new(name: &str, placers: Vec<String>, shutdown: Shutdown) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            routes: RouteTable::new(placers),
            upstream: Upstream::default(),
            admission: Admission::default(),
            retry_budgets: Mutex::default(),
            slo_counts: SloCounts::default(),
            uptime: Uptime::start(),
            shutdown,
            health: Health::default(),
            refresh_now: Notify::new(),
            refreshed: Notify::new(),
            calls_end: CancellationToken::new(),
        })
    }

    /// Readiness: set while the routes are fresh and the entry is not draining.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health.clone()
    }

    /// Version of the applied configuration; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> config::Version {
        self.routes.version()
    }

    /// Starts a task that refreshes routes and configuration until shutdown, at this interval and
    /// whenever a request is about to be retried.
    pub fn spawn(self: &Arc<Self>, interval: Duration) {
        let entry = Arc::clone(self);
        self.shutdown.spawn(async move {
            let refresh = async {
                loop {
                    entry.refresh().await;
                    tokio::select! {
                        () = tokio::time::sleep(interval) => {}
                        () = entry.refresh_now.notified() => {}
                    }
                }
            };
            tokio::select! {
                () = refresh => {}
                () = entry.shutdown.ended() => {}
            }
        });
    }

    async fn refresh(&self) {
        let Some((placer, query)) = self.routes.next_query(&self.name) else {
            return;
        };
        let queried_at = self.uptime.elapsed();
        match self.upstream.routes(&placer, query).await {
            Ok(routes) => self.routes.update(routes, queried_at),
            Err(_) => {
                self.routes.next_placer();
                self.refresh_now.notify_one();
                tokio::time::sleep(MIN_BACKOFF).await;
            }
        }
        self.refreshed.notify_waiters();
        let fresh = self.routes.is_fresh(self.uptime.elapsed());
        self.health.set_ready(fresh && !self.shutdown.is_draining());
    }

    /// Answers the calls in progress with what is known by now.
    pub(crate) fn end_calls(&self) {
        self.calls_end.cancel();
    }

    /// Waits for the reply to a call to a placer, until the calls in progress have to be answered.
    async fn await_reply<T>(
        &self,
        reply: impl Future<Output = Result<T, CallFailure>>,
    ) -> Result<T, CallFailure> {
        tokio::select! {
            biased;
            result = reply => result,
            () = self.calls_end.cancelled() => Err(CallFailure::NoAnswer),
        }
    }

    /// Runs a quick request and counts its outcome.
    pub async fn run(&self, request: Request) -> Answer {
        let started_at = self.uptime.elapsed();
        let (team, service) = (request.team.clone(), request.service.clone());
        let answer = self.admit_and_run(request, started_at).await;
        self.count(&team, &service, &answer, started_at);
        answer
    }

    async fn admit_and_run(&self, request: Request, started_at: Duration) -> Answer {
        let applied = match self.serving_config() {
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
        let Some(mut permit) = self.admission.admit(&request.team, team.concurrency, rack) else {
            let fault = Fault::new(Kind::Busy, "too many requests are under way");
            return fault.with_retry_after(retry_after(service)).into();
        };
        let answer = self
            .run_with_retries(&request, rack, cell.policy.retry_share, started_at)
            .await;
        if matches!(answer, Answer::Done(_)) {
            permit.record_latency(self.uptime.elapsed().saturating_sub(started_at));
        }
        answer
    }

    /// Sends the request to the owner of its rack; retries while the fault is retryable, the search
    /// time is not used up and the team's retry budget allows it.
    async fn run_with_retries(
        &self,
        request: &Request,
        rack: &str,
        retry_share: f64,
        started_at: Duration,
    ) -> Answer {
        let deadline = started_at + request.budget();
        let mut history = AttemptHistory::default();
        let mut backoff = MIN_BACKOFF;
        self.deposit_retry_share(&request.team, retry_share);
        loop {
            let remaining = deadline.saturating_sub(self.uptime.elapsed());
            if remaining.is_zero() {
                return history
                    .final_answer(Answer::fault(Kind::Deadline, "the deadline has passed"));
            }
            let budget_ms = (remaining.as_millis() as u64).max(1);
            let attempt = Request {
                budget_ms,
                ..request.clone()
            };
            let answer = match self.routes.owner(rack) {
                None => Answer::fault(Kind::NoOwner, "the rack has no owner at the moment"),
                Some(owner) => match self
                    .await_reply(self.upstream.run(&owner.address, rack, attempt))
                    .await
                {
                    Ok(answer) => answer,
                    Err(CallFailure::NotSent) => Answer::fault(Kind::NoOwner, "its owner is gone"),
                    Err(CallFailure::NoAnswer) => {
                        history.record_lost_answer();
                        Answer::fault(Kind::OwnerLost, "its owner gave no answer")
                    }
                },
            };
            let elapsed = self.uptime.elapsed().saturating_sub(started_at);
            if !is_retryable(&answer)
                || elapsed > MAX_OWNER_SEARCH
                || !self.may_retry(&request.team, &answer)
                || !self.await_routes(backoff).await
            {
                return history.final_answer(answer);
            }
            metrics::counter!("lentilyoke_retries_total").increment(1);
            backoff *= 2;
        }
    }

    /// Submits a job.
    pub async fn submit(&self, job: Job) -> Result<State, Fault> {
        let team = job.team.clone();
        self.call_job_owner(&team, |address, home| {
            let job = job.clone();
            async move { self.upstream.submit(&address, &home, job).await }
        })
        .await
    }

    /// Returns the state of a job.
    pub async fn watch(&self, team: &str, job: &str) -> Result<State, Fault> {
        let state = self
            .call_job_owner(team, |address, home| async move {
                self.upstream.watch(&address, &home, team, job).await
            })
            .await;
        // Watching changes nothing, so there is no outcome that could be unknown.
        state.map_err(|fault| match fault.kind {
            Kind::OwnerLost if self.calls_end.is_cancelled() => stopping(),
            _ => fault,
        })
    }

    /// Cancels a job.
    pub async fn cancel(&self, team: &str, job: &str) -> Result<State, Fault> {
        self.call_job_owner(team, |address, home| async move {
            self.upstream.cancel(&address, &home, team, job).await
        })
        .await
    }

    /// Calls the owner of the team's home rack. All these calls are idempotent, since a job is
    /// identified by its id, so they are retried without a budget.
    async fn call_job_owner<F, R>(&self, team: &str, call: F) -> Result<State, Fault>
    where
        F: Fn(String, String) -> R,
        R: Future<Output = Result<Result<State, Fault>, CallFailure>>,
    {
        let started_at = self.uptime.elapsed();
        let applied = self.serving_config()?;
        let unknown = || Fault::new(Kind::UnknownTeam, format!("there is no team {team:?}"));
        let team_config = applied.cell.team(team).ok_or_else(unknown)?;
        let home = home::team(&applied.cell, team, team_config)
            .ok_or_else(|| Fault::new(Kind::NoOwner, "the region has no rack"))?;
        let mut history = AttemptHistory::default();
        let mut backoff = MIN_BACKOFF;
        loop {
            let result = match self.routes.owner(home) {
                None => Err(Fault::new(
                    Kind::NoOwner,
                    "the rack has no owner at the moment",
                )),
                Some(owner) => match self.await_reply(call(owner.address, home.to_owned())).await {
                    Ok(result) => result,
                    Err(CallFailure::NotSent) => {
                        Err(Fault::new(Kind::NoOwner, "its owner is gone"))
                    }
                    Err(CallFailure::NoAnswer) => {
                        history.record_lost_answer();
                        Err(Fault::new(Kind::OwnerLost, "its owner gave no answer"))
                    }
                },
            };
            let fault = match result {
                Ok(state) => return Ok(state),
                Err(fault) => fault,
            };
            let answer = Answer::Fault(fault);
            if !is_retryable(&answer)
                || self.uptime.elapsed().saturating_sub(started_at) > MAX_OWNER_SEARCH
                || !self.await_routes(backoff).await
            {
                return match history.final_answer(answer) {
                    Answer::Fault(fault) => Err(fault),
                    Answer::Done(_) => Err(Fault::new(Kind::OwnerLost, "no answer")),
                };
            }
            backoff *= 2;
        }
    }

    /// The applied configuration, if new calls are accepted and the routes are fresh.
    fn serving_config(&self) -> Result<Arc<AppliedConfig>, Fault> {
        if self.shutdown.phase() >= Phase::Closing {
            return Err(stopping());
        }
        let fresh = self.routes.is_fresh(self.uptime.elapsed());
        let applied = self.routes.applied().filter(|_| fresh);
        applied.ok_or_else(|| Fault::new(Kind::NoOwner, "this entry hears of no placer"))
    }

    /// Requests a refresh of the routes and waits for it, for `max_wait` at most, then pauses for
    /// [`MIN_BACKOFF`]. `false` if the calls in progress have to be answered by then.
    async fn await_routes(&self, max_wait: Duration) -> bool {
        let refreshed = self.refreshed.notified();
        self.refresh_now.notify_one();
        let pause = async {
            drop(tokio::time::timeout(max_wait, refreshed).await);
            tokio::time::sleep(MIN_BACKOFF).await;
        };
        tokio::select! {
            () = pause => true,
            () = self.calls_end.cancelled() => false,
        }
    }

    fn deposit_retry_share(&self, team: &str, share: f64) {
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(team.to_owned());
        let budget = budget.or_insert_with(|| RetryBudget::new(share, MAX_SAVED_RETRIES));
        budget.set_share(share);
        budget.deposit();
    }

    /// Whether the team may retry. An attempt that reached no owner caused no load, so its retry is
    /// not charged to the budget.
    fn may_retry(&self, team: &str, answer: &Answer) -> bool {
        let free = matches!(answer, Answer::Fault(f) if f.kind == Kind::NoOwner);
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        free || budgets.get_mut(team).is_some_and(RetryBudget::try_withdraw)
    }

    fn count(&self, team: &str, service: &str, answer: &Answer, started_at: Duration) {
        let latency = self.uptime.elapsed().saturating_sub(started_at);
        let kind = match answer {
            Answer::Done(_) => "done",
            Answer::Fault(fault) => fault.kind.as_str(),
        };
        let class = answer.class().as_str();
        metrics::counter!("lentilyoke_answers_total", "class" => class, "kind" => kind)
            .increment(1);
        metrics::histogram!("lentilyoke_answer_seconds", "class" => class)
            .record(latency.as_secs_f64());
        if answer.class() == Class::Refused {
            return;
        }
        let Some(applied) = self.routes.applied() else {
            return;
        };
        if let Some(service_config) = applied.cell.service(service) {
            let good =
                matches!(answer, Answer::Done(_)) && latency <= service_config.target_latency;
            self.slo_counts
                .count(service, team, service_config.objective, good);
        }
    }
}

fn stopping() -> Fault {
    Fault::new(Kind::Draining, "this entry is stopping")
}

/// Whether another attempt may succeed because the owner may have changed meanwhile.
fn is_retryable(answer: &Answer) -> bool {
    let Answer::Fault(fault) = answer else {
        return false;
    };
    let retryable = [
        Kind::NoOwner,
        Kind::NotOwner,
        Kind::NoAuthority,
        Kind::Draining,
        Kind::OwnerLost,
    ];
    retryable.contains(&fault.kind)
}

/// Delay suggested to a caller that was not admitted: by then some of the requests in flight have
/// completed.
fn retry_after(service: &Service) -> Duration {
    service
        .max_run
        .min(Duration::from_secs(1))
        .max(Duration::from_millis(100))
}
