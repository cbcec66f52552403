//! Admission of calls: finds the queue of a call and the customer of its key, and waits until the configuration is recent enough
//! to decide.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use pool::Ms;
use tokio::time::Instant;

use crate::access::{Caller, Decision, Freshness, PresentedKey, Reason, Revocation};
use crate::catalog::{Catalog, CatalogInForce, Queue};
use crate::clock;
use crate::confirmation::{Confirmation, Waiting};
use crate::refusals::Refusals;

/// A call that can't be decided on may be repeated after this time. A host in touch with an owner or the store gets the next
/// confirmation of its configuration within it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to a queue.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Host name in its URL.
    pub host: &'a str,
    /// Path of its URL.
    pub path: &'a str,
    /// Its key.
    pub key: PresentedKey,
    /// When it arrived, by [`crate::clock::now`].
    pub arrived_at: Ms,
}

/// A call that may use a queue.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The configuration by which this was decided.
    pub catalog: Arc<Catalog>,
    /// The queue.
    pub queue: Queue,
    /// Who makes the call.
    pub caller: Caller,
}

/// Why a call may not use a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// There is no such queue.
    NoQueue,
    /// The queue is not open to all, and the call has no valid key.
    Denied,
    /// What the call carries can't be a key.
    UnreadableKey,
    /// It is not known whether the call may use the queue; the caller may retry after this time.
    Unknown(Duration),
}

/// Decides which calls may use which queues.
///
/// A call with a valid key takes no lock and waits for nothing that calls without one use.
pub struct Admission {
    catalog: Arc<CatalogInForce>,
    confirmation: Arc<Confirmation>,
    revocation: Revocation,
    /// Age from which the configuration doesn't count as current.
    max_age: Duration,
    refusals: Refusals,
}

impl Admission {
    /// Creates the admission by this configuration, which counts as current up to the age `max_age`.
    #[must_use]
    pub fn new(
        catalog: Arc<CatalogInForce>,
        confirmation: Arc<Confirmation>,
        revocation: Revocation,
        max_age: Duration,
    ) -> Self {
        Self {
            catalog,
            confirmation,
            revocation,
            max_age,
            refusals: Refusals::default(),
        }
    }

    /// Whether the configuration is known to be current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        Duration::from_millis(self.confirmation.age()) < self.max_age
    }

    /// Decides on a call. Waits until `until` at most if the configuration has to be confirmed first.
    ///
    /// # Errors
    /// Why the call may not use the queue.
    pub async fn admit(&self, call: Call<'_>, until: Instant) -> Result<Admitted, Refusal> {
        loop {
            let freshness = Freshness {
                // Read before the configuration, which may only become newer in between.
                confirmed_at: self.confirmation.confirmed_at(),
                now: clock::now(),
                arrived_at: call.arrived_at,
            };
            let Some(catalog) = self.catalog.load() else {
                return Err(Refusal::Unknown(RETRY_AFTER));
            };
            let Some(queue) = catalog.find(call.host, call.path) else {
                return Err(self.refuse_unknown_queue(call, catalog.version));
            };
            let reason = match Decision::on(&catalog, queue, call.key, freshness, self.revocation) {
                Decision::Granted(caller) => {
                    let queue = queue.clone();
                    return Ok(Admitted {
                        catalog,
                        queue,
                        caller,
                    });
                }
                Decision::Unreadable => {
                    self.refusals.record("unreadable_key", "", |unlogged| {
                        info!(queue = queue.name, unlogged = unlogged; "call refused: what it carries can't be a key");
                    });
                    return Err(Refusal::UnreadableKey);
                }
                Decision::Denied(reason) => {
                    self.refusals.record(reason.name(), "", |unlogged| {
                        info!(
                            queue = queue.name, reason = reason.name(), version = catalog.version,
                            age = freshness.now.saturating_sub(freshness.confirmed_at), unlogged = unlogged;
                            "call refused: no valid key"
                        );
                    });
                    return Err(Refusal::Denied);
                }
                Decision::Unconfirmed(reason) => reason,
            };
            let as_of = reason.required_at(freshness, self.revocation);
            let waiting = match reason {
                Reason::NoKey | Reason::UnknownKey => Waiting::UnknownKey,
                Reason::MayBeRevoked => Waiting::KnownKey,
            };
            if let Err(unconfirmed) = self.confirmation.wait(waiting, as_of, until).await {
                let customer = self.customer(&catalog, call.key, reason);
                self.refusals.record(unconfirmed.name(), customer, |unlogged| {
                    info!(
                        queue = queue.name, customer = customer, reason = reason.name(), cause = unconfirmed.name(),
                        version = catalog.version, age = self.confirmation.age(), unlogged = unlogged;
                        "call refused: the configuration may be out of date"
                    );
                });
                return Err(Refusal::Unknown(RETRY_AFTER));
            }
        }
    }

    /// Records that a call by this customer named a job of another one.
    pub fn record_foreign_job(&self, caller: &Caller, job: &str) {
        self.refusals
            .record("other_customer", &caller.customer, |unlogged| {
                info!(
                    queue = caller.queue, customer = &*caller.customer, job = job, unlogged = unlogged;
                    "call refused: the job belongs to another customer"
                );
            });
    }

    fn refuse_unknown_queue(&self, call: Call<'_>, version: u64) -> Refusal {
        if !self.is_current() {
            return Refusal::Unknown(RETRY_AFTER);
        }
        info!(host = call.host, path = call.path, version = version; "no queue serves this host and path");
        Refusal::NoQueue
    }

    /// The customer of a key that may have been revoked; empty for other reasons.
    fn customer<'a>(&self, catalog: &'a Catalog, key: PresentedKey, reason: Reason) -> &'a str {
        match (key, reason) {
            (PresentedKey::Digest(digest), Reason::MayBeRevoked) => catalog
                .customer_of(&digest)
                .map_or("", |customer| &customer.name),
            _ => "",
        }
    }
}
