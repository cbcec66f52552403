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
use crate::memory::Entry;

/// Time for a message to a worker and back, beside the run.
const TRAVEL: Duration = Duration::from_millis(200);
/// Retries that a team may save up.
const SAVED_RETRIES: f64 = 16.0;
/// Attempts at one request, at most.
const ATTEMPTS: u32 = 3;

/// How an attempt ended, if the request goes on.
enum Next {
    /// The caller gets this.
    Answer(Answer),
    /// It certainly did not run; it may be tried again, or this is the answer.
    Again(Fault),
}

impl Shard {
    /// Runs a request and tells the one answer to it. The work goes on if the caller goes away.
    pub(crate) async fn run(self: Arc<Self>, node: Arc<Node>, request: Request) -> Answer {
        let name = format!("{}/{}", request.team, request.id);
        if self.stage() != Stage::Active {
            return Answer::fault(Kind::NotOwner, "this placer does not own the rack");
        }
        let entry = self.state().memory.begin(&name, &request);
        match entry {
            Entry::Conflict => {
                Answer::fault(Kind::Conflict, "this id was used for another request")
            }
            Entry::Ended(answer) => answer,
            Entry::Running(mut answer) => {
                let ended = answer.wait_for(Option::is_some);
                match tokio::time::timeout(request.budget(), ended).await {
                    Ok(Ok(answer)) => answer.clone().unwrap_or_else(unknown),
                    _ => unknown(),
                }
            }
            Entry::New => {
                let (done, answer) = oneshot::channel();
                let stop = node.stop.clone();
                // A task of its own: if the connection to the entry breaks, this future is
                // dropped, and with it the knowledge of what was started.
                stop.spawn(async move {
                    let result = self.attempts(&node, &name, &request).await;
                    let now = node.now();
                    self.state().memory.end(&name, &result, now);
                    drop(done.send(result));
                });
                answer.await.unwrap_or_else(|_| unknown())
            }
        }
    }

    async fn attempts(self: &Arc<Self>, node: &Arc<Node>, name: &str, request: &Request) -> Answer {
        let expires = node.now() + request.budget();
        let Some(applied) = node.applied() else {
            return Answer::fault(Kind::NoOwner, "no configuration yet");
        };
        let Some(service) = applied.cell.service(&request.service) else {
            return Answer::fault(Kind::UnknownService, "there is no such service");
        };
        self.pay(&request.team, applied.cell.policy.retry_share);
        if !request.idempotent
            && let Err(fault) = self.claim(node, name).await
        {
            return fault.into();
        }
        let mut last = Fault::new(Kind::Deadline, "the deadline passed before it started");
        for attempt in 0..ATTEMPTS {
            if attempt > 0 && !self.may_retry(&request.team) {
                break;
            }
            match self.attempt(node, name, request, service, expires).await {
                Next::Answer(answer) => return answer,
                Next::Again(fault) => last = fault,
            }
            if node.now() >= expires {
                break;
            }
        }
        last.into()
    }

    /// Claims a request before it is started, so that a later owner knows that it may have run.
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
        let verdict = node.claims.hold(claim).await;
        // A claim under an earlier epoch of this very placer does not allow a start under the
        // present one: an owner in between may have run it.
        let still = self
            .state()
            .record
            .as_ref()
            .is_some_and(|(_, r)| r.epoch == epoch);
        match verdict {
            ClaimOutcome::Held if still => Ok(()),
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
    ) -> Next {
        let go = match self.wait(node, request, service, expires).await {
            Ok(go) => go,
            Err(fault) => return Next::Answer(fault.into()),
        };
        let run = Run {
            epoch: go.epoch,
            incarnation: go.incarnation,
            not_after: go.not_after,
            run_ms: service.max_run.as_millis() as u64,
            id: name.to_owned(),
            attempt: go.attempt,
            service: request.service.clone(),
            key: go.key.clone(),
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
            .run(&go.address, run, service.max_run + TRAVEL)
            .await;
        let took = node.now().saturating_sub(began);
        let (over, next) = match result {
            Ok(ran) => ended(ran),
            Err(error) if error.had_no_effect() => {
                let fault = Fault::new(Kind::NoWorker, format!("{}: {error}", go.worker));
                (RunOutcome::Refused, Next::Again(fault))
            }
            Err(error) => {
                self.resolve(node, name, request, service, &go, &error)
                    .await
            }
        };
        let now = node.now();
        if let Some(rack) = &mut self.state().rack {
            rack.finish(&go, over, took, now);
        }
        self.dispatch(now);
        next
    }

    /// Waits for a worker and for the key.
    async fn wait(
        &self,
        node: &Node,
        request: &Request,
        service: &Service,
        expires: Now,
    ) -> Result<QuickRun, Fault> {
        let (ticket, mut start) = self.queue(node, request, service, expires)?;
        self.dispatch(node.now());
        let deadline = node.since.instant_at(expires);
        match tokio::time::timeout_at(deadline, &mut start).await {
            Ok(Ok(go)) => return Ok(go),
            Ok(Err(_)) => return Err(deposed()),
            Err(_) => {}
        }
        let mut state = self.state();
        state.starts.remove(&ticket);
        let withdrawn = state
            .rack
            .as_mut()
            .is_some_and(|rack| rack.withdraw(ticket));
        drop(state);
        if !withdrawn && let Ok(go) = start.try_recv() {
            return Ok(go);
        }
        Err(Fault::new(
            Kind::Deadline,
            "the deadline passed before it started",
        ))
    }

    /// Lets a request wait; the start comes over the channel.
    fn queue(
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
        state.starts.insert(ticket, sender);
        Ok((ticket, start))
    }

    /// No answer came from the worker: makes sure that the attempt is over, if that can be.
    async fn resolve(
        &self,
        node: &Node,
        name: &str,
        request: &Request,
        service: &Service,
        go: &QuickRun,
        error: &Error,
    ) -> (RunOutcome, Next) {
        log::warn!(request = name, worker = go.worker.as_str(); "no answer: {error}");
        let void = Void {
            epoch: go.epoch,
            id: name.to_owned(),
            attempt: go.attempt,
        };
        let lost = || Fault::new(Kind::Lost, format!("no answer from {}", go.worker));
        match node.workers.void(&go.address, void).await {
            Ok(Voided::Ended(ran)) => ended(ran),
            Ok(Voided::Never) => {
                let fault = Fault::new(Kind::NoWorker, format!("{} did not start it", go.worker));
                (RunOutcome::Refused, Next::Again(fault))
            }
            Ok(Voided::Stopped) if request.idempotent => {
                (RunOutcome::Known { failed: true }, Next::Again(lost()))
            }
            Ok(Voided::Stopped) => (
                RunOutcome::Known { failed: true },
                Next::Answer(lost().into()),
            ),
            Err(_) => (
                RunOutcome::Unknown {
                    max_run: service.max_run,
                },
                Next::Answer(lost().into()),
            ),
        }
    }

    fn pay(&self, team: &str, share: f64) {
        let mut state = self.state();
        let budget = state.budgets.entry(team.to_owned());
        budget
            .or_insert_with(|| RetryBudget::new(share, SAVED_RETRIES))
            .deposit();
    }

    fn may_retry(&self, team: &str) -> bool {
        self.state()
            .budgets
            .get_mut(team)
            .is_some_and(RetryBudget::try_withdraw)
    }
}

fn deposed() -> Fault {
    Fault::new(Kind::NotOwner, "another placer owns the rack now")
}

/// A whole answer came, or the worker says that it failed.
fn ended(ran: RunResult) -> (RunOutcome, Next) {
    match ran.result {
        Ok(body) => (
            RunOutcome::Known { failed: false },
            Next::Answer(Answer::Done(body)),
        ),
        Err(reason) => (
            RunOutcome::Known { failed: true },
            Next::Answer(Answer::fault(Kind::Failed, reason)),
        ),
    }
}

fn unknown() -> Answer {
    Answer::fault(Kind::Lost, "it is under way; its outcome is not known yet")
}
