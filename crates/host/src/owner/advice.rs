//! Advisor requests of the owner, each made by the host that can get the answer soonest.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::{AdvisorQuery, Ms};

use super::Owner;
use super::connected_hosts::MAX_SILENCE;
use crate::advisor_proxies::ExpectedAt;
use crate::clock;
use crate::host::lock;
use crate::interfaces::Tickets;
use crate::log_sampling::is_logged_in_full;
use crate::wire::FromOwner;

/// A request that another host makes to the advisor for this owner.
pub(super) struct PendingRequest {
    ask: AdvisorQuery,
    /// The request counts as failed after this time.
    expires: Ms,
    /// Name of the host that makes the request.
    host: String,
    /// When its answer is due.
    due: ExpectedAt,
}

impl Owner {
    /// Makes a request to the advisor, by way of the host that can get the answer soonest: the advisor serves one request at
    /// a time for each host.
    pub(super) fn request_advice(self: &Arc<Self>, ask: AdvisorQuery) {
        let now = clock::now();
        let helper = {
            let own = lock(&self.helper).score(now, 0, ask.expected_duration);
            let mut hosts = lock(&self.hosts);
            let best = hosts
                .iter_mut()
                .filter(|(_, host)| {
                    host.asks_advisor && now.saturating_sub(host.last_heard) < MAX_SILENCE
                })
                .map(|(name, host)| {
                    let place = host
                        .helper
                        .score(now, host.store_rtt_ms, ask.expected_duration);
                    (place, name, host)
                })
                .min_by_key(|(place, ..)| *place);
            best.filter(|(place, ..)| *place < own)
                .map(|(_, name, host)| {
                    let due = host.helper.assign(now, ask.expected_duration);
                    (name.clone(), host.sender.clone(), due)
                })
        };
        match helper {
            Some((name, sender, due)) => {
                let number = self.next_number.fetch_add(1, Ordering::Relaxed);
                let key = &ask.stage;
                let message = FromOwner::Advise {
                    number,
                    stage: (key.job.to_string(), key.occurrence, key.step),
                    workers: ask.workers.iter().map(ToString::to_string).collect(),
                    takes: ask.expected_duration,
                };
                let request = PendingRequest {
                    expires: now + ask.expected_duration * 3 + 1_000,
                    ask,
                    host: name,
                    due,
                };
                lock(&self.advisor_requests).insert(number, request);
                if sender.try_send(message).is_err() {
                    self.receive_advice(number, None);
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
                    owner.apply_advice(&ask, allowed.as_ref());
                });
            }
        }
    }

    /// Applies the answer to a request that another host made; `None` if the request failed.
    pub(super) fn receive_advice(&self, number: u64, allowed: Option<&Tickets>) {
        let request = lock(&self.advisor_requests).remove(&number);
        if let Some(request) = request {
            if let Some(host) = lock(&self.hosts).get_mut(&request.host) {
                host.helper.complete(clock::now(), request.due);
            }
            self.apply_advice(&request.ask, allowed);
        }
    }

    /// Logs the answer to a request and passes it to the pool.
    pub(super) fn apply_advice(&self, ask: &AdvisorQuery, allowed: Option<&Tickets>) {
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

    /// Fails requests of other hosts that were not answered in time.
    pub(super) fn expire_advisor_requests(&self) {
        let now = clock::now();
        let late: Vec<u64> = lock(&self.advisor_requests)
            .iter()
            .filter(|(_, request)| request.expires < now)
            .map(|(&number, _)| number)
            .collect();
        for number in late {
            self.receive_advice(number, None);
        }
    }
}
