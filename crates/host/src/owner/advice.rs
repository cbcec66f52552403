//! Questions to the advisor, asked by the host that is free soonest.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::{AdvisorQuery, Ms};

use super::Owner;
use super::members::QUIET;
use crate::advisor_proxies::ExpectedAt;
use crate::clock;
use crate::host::lock;
use crate::interfaces::Tickets;
use crate::log_sampling::is_logged_in_full;
use crate::wire::FromOwner;

/// A question that another host asks the advisor.
pub(super) struct Question {
    ask: AdvisorQuery,
    until: Ms,
    /// The host that asks, and when its answer is due.
    helper: String,
    due: ExpectedAt,
}

impl Owner {
    /// Has the advisor asked by the host that is free soonest: it serves one question at a time for each host.
    pub(super) fn ask(self: &Arc<Self>, ask: AdvisorQuery) {
        let now = clock::now();
        let helper = {
            let own = lock(&self.helper).score(now, 0, ask.expected_duration);
            let mut members = lock(&self.members);
            let best = members
                .iter_mut()
                .filter(|(_, member)| member.helps && now.saturating_sub(member.heard) < QUIET)
                .map(|(name, member)| {
                    let place = member.helper.score(now, member.away, ask.expected_duration);
                    (place, name, member)
                })
                .min_by_key(|(place, ..)| *place);
            best.filter(|(place, ..)| *place < own)
                .map(|(_, name, member)| {
                    let due = member.helper.assign(now, ask.expected_duration);
                    (name.clone(), member.to.clone(), due)
                })
        };
        match helper {
            Some((name, to, due)) => {
                let number = self.numbers.fetch_add(1, Ordering::Relaxed);
                let key = &ask.stage;
                let message = FromOwner::Advise {
                    number,
                    stage: (key.job.to_string(), key.occurrence, key.step),
                    workers: ask.workers.iter().map(ToString::to_string).collect(),
                    takes: ask.expected_duration,
                };
                let question = Question {
                    until: now + ask.expected_duration * 3 + 1_000,
                    ask,
                    helper: name,
                    due,
                };
                lock(&self.questions).insert(number, question);
                if to.try_send(message).is_err() {
                    self.told_advice(number, None);
                }
            }
            None => {
                let due = lock(&self.helper).assign(now, ask.expected_duration);
                let owner = Arc::clone(self);
                self.host.stop.spawn(async move {
                    let takes = Duration::from_millis(ask.expected_duration);
                    let advisor = Arc::clone(&owner.host.advisor);
                    let allowed = advisor.query(&ask.stage, &ask.workers, takes).await;
                    lock(&owner.helper).complete(clock::now(), due);
                    owner.advised(&ask, allowed.as_ref());
                });
            }
        }
    }

    pub(super) fn told_advice(&self, number: u64, allowed: Option<&Tickets>) {
        let question = lock(&self.questions).remove(&number);
        if let Some(question) = question {
            if let Some(member) = lock(&self.members).get_mut(&question.helper) {
                member.helper.complete(clock::now(), question.due);
            }
            self.advised(&question.ask, allowed);
        }
    }

    pub(super) fn advised(&self, ask: &AdvisorQuery, allowed: Option<&Tickets>) {
        let outcome = if allowed.is_some() {
            "answered"
        } else {
            "failed"
        };
        metrics::counter!("lentilyoke_advice_total", "outcome" => outcome).increment(1);
        if allowed.is_none() || is_logged_in_full(&ask.stage.job) {
            info!(
                job = &*ask.stage.job, step = ask.stage.step, asked = ask.workers.len(), takes = ask.expected_duration,
                allowed = allowed.map_or(-1, |(rows, _)| rows.len() as i64);
                "advice"
            );
        }
        let rows = allowed.map(|(rows, valid)| (rows.as_slice(), *valid));
        lock(&self.pool).advisor_answered(clock::now(), ask, rows);
        self.wake.notify_one();
    }

    pub(super) fn expire_questions(&self) {
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
}
