//! Runs one quick request on a worker of the rack.

use std::sync::Arc;
use std::time::Duration;

use cell::{Now, QuickRun, RunOutcome, Stage, Ticket};
use config::Service;
use policy::RetryBudget;
use tokio::sync::oneshot;
use wire::{Answer, Claim, ClaimOutcome, Fault, Kind, Request};
use worker::Error;
use worker::call::{Run, RunResult, Void, Voided};

use super::Shard;
use crate::Node;
use crate::request_cache::Lookup;

/// Time allowed for a message to a worker and its answer, in addition to the run.
const ROUND_TRIP_ALLOWANCE: Duration = Duration::from_millis(200);
/// Upper bound on the retries that a team may accumulate.
const MAX_SAVED_RETRIES: f64 = 16.0;
/// Upper bound on the attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// Result of one attempt at a request.
enum AttemptResult {
    /// The answer for the caller.
    Answer(Answer),
    /// The request did not run or is idempotent, so it may be tried again. The fault is the answer
    /// if no further attempt is made.
    Retry(Fault),
}

impl Shard {
    /// Runs a request and returns its answer. The work continues if the caller disconnects.
    pub(crate) async fn run(self: Arc<Self>, node: Arc<Node>, request: Request) -> Answer {
        let name = format!("{}/{}", request.team, request.id);
        if self.stage() != Stage::Active {
            return Answer::fault(Kind::NotOwner, "this placer does not own the rack");
        }
        let entry = self.state().requests.begin(&name, &request);
        match entry {
            Lookup::Conflict => {
                Answer::fault(Kind::Conflict, "this id was used for another request")
            }
            Lookup::Ended(answer) => answer,
            Lookup::Running(mut answer) => {
                let ended = answer.wait_for(Option::is_some);
                tokio::select! {
                    biased;
                    ended = tokio::time::timeout(request.budget(), ended) => match ended {
                        Ok(Ok(answer)) => answer.clone().unwrap_or_else(outcome_unknown),
                        _ => outcome_unknown(),
                    },
                    () = node.shutdown.closing() => outcome_unknown(),
                }
            }
            Lookup::New => {
                let (done, answer) = oneshot::channel();
                let shutdown = node.shutdown.clone();
                let closing = node.shutdown.clone();
                // Runs in a task of its own: if the connection to the entry breaks, this future is
                // dropped, and the record of what was started would be lost with it.
                shutdown.spawn(async move {
                    let result = self.attempts(&node, &name, &request).await;
                    let now = node.now();
                    self.state().requests.end(&name, &result, now);
                    drop(done.send(result));
                });
                tokio::select! {
                    biased;
                    answer = answer => answer.unwrap_or_else(|_| outcome_unknown()),
                    () = closing.closing() => outcome_unknown(),
                }
            }
        }
    }

    async fn attempts(self: &Arc<Self>, node: &Arc<Node>, name: &str, request: &Request) -> Answer {
        let expires = node.now() + request.budget();
        let Some(applied) = node.active_config() else {
            return Answer::fault(Kind::NoOwner, "no configuration yet");
        };
        let Some(service) = applied.cell.service(&request.service) else {
            return Answer::fault(Kind::UnknownService, "there is no such service");
        };
        self.deposit_retry_share(&request.team, applied.cell.policy.retry_share);
        if !request.idempotent
            && let Err(fault) = self.claim(node, name).await
        {
            return fault.into();
        }
        let mut last = Fault::new(Kind::Deadline, "the deadline passed before it started");
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 && !self.may_retry(&request.team) {
                break;
            }
            match self.attempt(node, name, request, service, expires).await {
                AttemptResult::Answer(answer) => return answer,
                AttemptResult::Retry(fault) => last = fault,
            }
            if node.now() >= expires {
                break;
            }
        }
        last.into()
    }

    /// Writes a claim before a request starts, so that a later owner knows that it may have run.
    async fn claim(&self, node: &Node, name: &str) -> Result<(), Fault> {
        let claim = {
            let state = self.state();
            let Some((version, record)) = &state.record else {
                return Err(Fault::new(
                    Kind::NotOwner,
                    "this placer does not own the rack",
                ));
            };
            Claim {
                rack: self.name.clone(),
                rack_version: *version,
                epoch: record.epoch,
                request: name.to_owned(),
            }
        };
        let epoch = claim.epoch;
        let outcome = node.claims.claim(claim).await;
        // A claim under an earlier epoch of this same placer does not permit a start under the
        // present one: an owner in between may have run the request.
        let epoch_current = self
            .state()
            .record
            .as_ref()
            .is_some_and(|(_, r)| r.epoch == epoch);
        match outcome {
            ClaimOutcome::Held if epoch_current => Ok(()),
            ClaimOutcome::Held | ClaimOutcome::Fenced => Err(Fault::new(
                Kind::NotOwner,
                "another placer owns the rack now",
            )),
            ClaimOutcome::Taken => {
                let reason = "an earlier owner of the rack has claimed it; it may have run";
                Err(Fault::new(Kind::ClaimedBefore, reason))
            }
            ClaimOutcome::Unknown => {
                let reason = "the platform's table did not take the claim, so it was not started";
                Err(Fault::new(Kind::StoreDown, reason))
            }
        }
    }

    async fn attempt(
        self: &Arc<Self>,
        node: &Arc<Node>,
        name: &str,
        request: &Request,
        service: &Service,
        expires: Now,
    ) -> AttemptResult {
        let quick_run = match self.wait_for_start(node, request, service, expires).await {
            Ok(quick_run) => quick_run,
            Err(fault) => return AttemptResult::Answer(fault.into()),
        };
        let run = Run {
            epoch: quick_run.epoch,
            incarnation: quick_run.incarnation,
            not_after: quick_run.not_after,
            run_ms: service.max_run.as_millis() as u64,
            id: name.to_owned(),
            attempt: quick_run.attempt,
            service: request.service.clone(),
            key: quick_run.key.clone(),
            body: request.body.clone(),
        };
        let began = node.now();
        metrics::histogram!("lentilyoke_wait_seconds").record(
            (began + request.budget())
                .saturating_sub(expires)
                .as_secs_f64(),
        );
        let result = node
            .workers
            .run(
                &quick_run.address,
                run,
                service.max_run + ROUND_TRIP_ALLOWANCE,
            )
            .await;
        let took = node.now().saturating_sub(began);
        let (outcome, next) = match result {
            Ok(ran) => run_result(ran),
            Err(error) if error.had_no_effect() => {
                let fault = Fault::new(Kind::NoWorker, format!("{}: {error}", quick_run.worker));
                (RunOutcome::Refused, AttemptResult::Retry(fault))
            }
            Err(error) => {
                self.resolve_attempt(node, name, request, service, &quick_run, &error)
                    .await
            }
        };
        let now = node.now();
        if let Some(rack) = &mut self.state().rack {
            rack.finish(&quick_run, outcome, took, now);
        }
        self.dispatch(now);
        next
    }

    /// Waits until a worker and the request's key are free.
    async fn wait_for_start(
        &self,
        node: &Node,
        request: &Request,
        service: &Service,
        expires: Now,
    ) -> Result<QuickRun, Fault> {
        let (ticket, mut start) = self.enqueue(node, request, service, expires)?;
        self.dispatch(node.now());
        let deadline = node.uptime.instant_at(expires);
        match tokio::time::timeout_at(deadline, &mut start).await {
            Ok(Ok(quick_run)) => return Ok(quick_run),
            Ok(Err(_)) => return Err(deposed()),
            Err(_) => {}
        }
        let mut state = self.state();
        state.pending_starts.remove(&ticket);
        let withdrawn = state
            .rack
            .as_mut()
            .is_some_and(|rack| rack.withdraw(ticket));
        drop(state);
        if !withdrawn && let Ok(quick_run) = start.try_recv() {
            return Ok(quick_run);
        }
        Err(Fault::new(
            Kind::Deadline,
            "the deadline passed before it started",
        ))
    }

    /// Queues a request; the channel delivers its start.
    fn enqueue(
        &self,
        node: &Node,
        request: &Request,
        service: &Service,
        expires: Now,
    ) -> Result<(Ticket, oneshot::Receiver<QuickRun>), Fault> {
        let key = format!("{}/{}", request.service, request.key);
        let mut state = self.state();
        let active = state.ownership.stage() == Stage::Active;
        let rack = state.rack.as_mut().filter(|_| active).ok_or_else(deposed)?;
        let ticket = rack.enqueue(service.rank, &key, expires, node.now())?;
        let (sender, start) = oneshot::channel();
        state.pending_starts.insert(ticket, sender);
        Ok((ticket, start))
    }

    /// Voids an attempt whose worker did not answer, to find out how it ended or to prevent its
    /// start.
    async fn resolve_attempt(
        &self,
        node: &Node,
        name: &str,
        request: &Request,
        service: &Service,
        quick_run: &QuickRun,
        error: &Error,
    ) -> (RunOutcome, AttemptResult) {
        log::warn!(request = name, worker = quick_run.worker.as_str(); "worker did not answer: {error}");
        let void = Void {
            epoch: quick_run.epoch,
            id: name.to_owned(),
            attempt: quick_run.attempt,
        };
        let lost = || Fault::new(Kind::Lost, format!("no answer from {}", quick_run.worker));
        match node.workers.void(&quick_run.address, void).await {
            Ok(Voided::Ended(ran)) => run_result(ran),
            Ok(Voided::Never) => {
                let fault = Fault::new(
                    Kind::NoWorker,
                    format!("{} did not start it", quick_run.worker),
                );
                (RunOutcome::Refused, AttemptResult::Retry(fault))
            }
            Ok(Voided::Stopped) if request.idempotent => (
                RunOutcome::Known { failed: true },
                AttemptResult::Retry(lost()),
            ),
            Ok(Voided::Stopped) => (
                RunOutcome::Known { failed: true },
                AttemptResult::Answer(lost().into()),
            ),
            Err(_) => (
                RunOutcome::Unknown {
                    max_run: service.max_run,
                },
                AttemptResult::Answer(lost().into()),
            ),
        }
    }

    fn deposit_retry_share(&self, team: &str, share: f64) {
        let mut state = self.state();
        let budget = state.retry_budgets.entry(team.to_owned());
        budget
            .or_insert_with(|| RetryBudget::new(share, MAX_SAVED_RETRIES))
            .deposit();
    }

    fn may_retry(&self, team: &str) -> bool {
        self.state()
            .retry_budgets
            .get_mut(team)
            .is_some_and(RetryBudget::try_withdraw)
    }
}

fn deposed() -> Fault {
    Fault::new(Kind::NotOwner, "another placer owns the rack now")
}

/// Result of a run whose outcome the worker reported.
fn run_result(ran: RunResult) -> (RunOutcome, AttemptResult) {
    match ran.result {
        Ok(body) => (
            RunOutcome::Known { failed: false },
            AttemptResult::Answer(Answer::Done(body)),
        ),
        Err(reason) => (
            RunOutcome::Known { failed: true },
            AttemptResult::Answer(Answer::fault(Kind::Failed, reason)),
        ),
    }
}

fn outcome_unknown() -> Answer {
    Answer::fault(Kind::Lost, "it is under way; its outcome is not known yet")
}
