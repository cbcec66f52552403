//! Advisor queries of the owner, each made by the host that can get the answer soonest.

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

/// A query that another host makes to the advisor for this owner.
pub(super) struct PendingQuery {
    query: AdvisorQuery,
    /// The query counts as failed after this time.
    expires: Ms,
    /// Name of the host that makes the query.
    host: String,
    /// When its answer is due.
    due: ExpectedAt,
}

impl Owner {
    /// Makes a query to the advisor, by way of the host that can get the answer soonest: the advisor serves one query at
    /// a time for each host.
    pub(super) fn send_advisor_query(self: &Arc<Self>, query: AdvisorQuery) {
        let now = clock::now();
        let proxy = {
            let own = lock(&self.advisor_proxy).score(now, 0, query.expected_duration);
            let mut hosts = lock(&self.hosts);
            let best = hosts
                .iter_mut()
                .filter(|(_, host)| {
                    host.is_advisor_proxy
                        && now.saturating_sub(host.heartbeat_received_at) < MAX_SILENCE
                })
                .map(|(name, host)| {
                    let score =
                        host.advisor_proxy
                            .score(now, host.store_rtt, query.expected_duration);
                    (score, name, host)
                })
                .min_by_key(|(score, ..)| *score);
            best.filter(|(score, ..)| *score < own)
                .map(|(_, name, host)| {
                    let due = host.advisor_proxy.assign(now, query.expected_duration);
                    (name.clone(), host.sender.clone(), due)
                })
        };
        match proxy {
            Some((name, sender, due)) => {
                let number = self.next_number.fetch_add(1, Ordering::Relaxed);
                let key = &query.stage;
                let message = FromOwner::Advise {
                    number,
                    stage: (key.job.to_string(), key.occurrence, key.step),
                    workers: query.workers.iter().map(ToString::to_string).collect(),
                    takes: query.expected_duration,
                };
                let request = PendingQuery {
                    expires: now + query.expected_duration * 3 + 1_000,
                    query,
                    host: name,
                    due,
                };
                lock(&self.advisor_queries).insert(number, request);
                if sender.try_send(message).is_err() {
                    self.receive_advice(number, None);
                }
            }
            None => {
                let due = lock(&self.advisor_proxy).assign(now, query.expected_duration);
                let owner = Arc::clone(self);
                self.host.stop.spawn_until_end(async move {
                    let duration = Duration::from_millis(query.expected_duration);
                    let advisor = Arc::clone(&owner.host.advisor);
                    let tickets = advisor.query(&query.stage, &query.workers, duration).await;
                    lock(&owner.advisor_proxy).complete(clock::now(), due);
                    owner.apply_advice(&query, tickets.as_ref());
                });
            }
        }
    }

    /// Applies the answer to a query that another host made; `None` if the query failed.
    pub(super) fn receive_advice(&self, number: u64, tickets: Option<&Tickets>) {
        let request = lock(&self.advisor_queries).remove(&number);
        if let Some(request) = request {
            if let Some(host) = lock(&self.hosts).get_mut(&request.host) {
                host.advisor_proxy.complete(clock::now(), request.due);
            }
            self.apply_advice(&request.query, tickets);
        }
    }

    /// Logs the answer to a query and passes it to the pool.
    pub(super) fn apply_advice(&self, query: &AdvisorQuery, tickets: Option<&Tickets>) {
        let outcome = if tickets.is_some() {
            "answered"
        } else {
            "failed"
        };
        metrics::counter!("lentilyoke_advice_total", "outcome" => outcome).increment(1);
        if tickets.is_none() || is_logged_in_full(&query.stage.job) {
            info!(
                job = &*query.stage.job, step = query.stage.step, asked = query.workers.len(), takes = query.expected_duration,
                allowed = tickets.map_or(-1, |(rows, _)| rows.len() as i64);
                "advice"
            );
        }
        let rows = tickets.map(|(rows, valid)| (rows.as_slice(), *valid));
        lock(&self.pool).advisor_answered(clock::now(), query, rows);
        self.wake.notify_one();
    }

    /// Fails queries of other hosts that were not answered in time.
    pub(super) fn expire_advisor_queries(&self) {
        let now = clock::now();
        let late: Vec<u64> = lock(&self.advisor_queries)
            .iter()
            .filter(|(_, request)| request.expires < now)
            .map(|(&number, _)| number)
            .collect();
        for number in late {
            self.receive_advice(number, None);
        }
    }
}
