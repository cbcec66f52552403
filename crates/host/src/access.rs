//! Which calls may use a queue, and which jobs a caller may access.
//!
//! A key that this host doesn't know may have been added a moment ago, so a call is denied only if the configuration was the newest
//! at or after its arrival. A key that this host knows may have been revoked. With strict revocation it grants access only if the
//! configuration was the newest no longer ago than the deadline.

use std::time::Duration;

use pool::{CustomerId, Job, Ms};
use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Queue};
use crate::key::KeyDigest;

/// Who makes a call, as far as access to jobs is concerned.
///
/// ```
/// use host::access::Caller;
///
/// let caller = Caller { customer: "a".into(), queue: "q".to_owned(), queue_is_open: false };
/// assert!(caller.may_access("a", "q") && caller.may_access("", "q"));
/// assert!(!caller.may_access("b", "q"));
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// The customer whose key was sent; empty for none.
    pub customer: CustomerId,
    /// Name of the called queue.
    pub queue: String,
    /// Whether the called queue is open to all.
    #[serde(rename = "open")]
    pub queue_is_open: bool,
}

impl Caller {
    /// The caller that has submitted a job.
    #[must_use]
    pub fn of_job(job: &Job) -> Self {
        Self {
            customer: CustomerId::clone(&job.customer),
            queue: job.queue.clone(),
            queue_is_open: job.customer.is_empty(),
        }
    }

    /// Whether the caller may access a job of this customer in this queue.
    ///
    /// A queue may have been closed when the job was accepted and be open to all now. Callers then send no key any more.
    #[must_use]
    pub fn may_access(&self, customer: &str, queue: &str) -> bool {
        customer.is_empty()
            || customer == &*self.customer
            || self.queue_is_open && queue == self.queue
    }
}

/// The key that a call carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// None.
    #[default]
    Absent,
    /// A key with this digest.
    Digest(KeyDigest),
    /// Something that can't be a key: several keys, bytes that are not text, or more bytes than any key has.
    Unreadable,
}

/// How keys that were removed from the configuration are treated.
#[derive(Clone, Copy, Debug, Default)]
pub struct Revocation {
    /// A key grants access only if the configuration was the newest no longer ago than `deadline`.
    pub strict: bool,
    /// Time within which the removal of a key has to take effect.
    pub deadline: Duration,
}

/// How recent the configuration is known to be. Times are milliseconds of [`crate::clock::now`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Latest time at which the configuration is certain to have been the newest.
    pub confirmed_at: Ms,
    /// Time of the decision.
    pub now: Ms,
    /// Time at which the call arrived.
    pub arrived_at: Ms,
}

/// Why a call is not granted access.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The queue is not open to all, and the call carries no key.
    NoKey,
    /// The configuration doesn't have the key.
    UnknownKey,
    /// The configuration has the key, but is not known to be recent enough.
    MayBeRevoked,
}

impl Reason {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::MayBeRevoked => "may_be_revoked",
        }
    }

    /// The time as of which the configuration has to be confirmed before a call that is refused for this reason can be decided
    /// on.
    #[must_use]
    pub fn required_at(self, freshness: Freshness, revocation: Revocation) -> Ms {
        match self {
            Self::NoKey | Self::UnknownKey => freshness.arrived_at,
            Self::MayBeRevoked => {
                let deadline = revocation.deadline.as_millis() as Ms;
                freshness.now.saturating_sub(deadline)
            }
        }
    }
}

/// Whether a call may use a queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may.
    Granted(Caller),
    /// It may not.
    Denied(Reason),
    /// What the call carries can't be a key.
    Unreadable,
    /// The configuration has to be confirmed first, as of [`Reason::required_at`].
    Unconfirmed(Reason),
}

impl Decision {
    /// Decides on a call of a queue of this configuration.
    #[must_use]
    pub fn on(
        catalog: &Catalog,
        queue: &Queue,
        key: PresentedKey,
        freshness: Freshness,
        revocation: Revocation,
    ) -> Self {
        let customer = match key {
            PresentedKey::Unreadable => return Self::Unreadable,
            PresentedKey::Absent => None,
            PresentedKey::Digest(digest) => catalog.customer_of(&digest),
        };
        let may_be_revoked = revocation.strict
            && freshness.now.saturating_sub(freshness.confirmed_at)
                > revocation.deadline.as_millis() as Ms;
        let granted = |customer: &str| {
            Self::Granted(Caller {
                customer: customer.into(),
                queue: queue.name.clone(),
                queue_is_open: queue.open_to_all,
            })
        };
        match customer {
            Some(customer) if !may_be_revoked => return granted(&customer.name),
            _ if queue.open_to_all => return granted(""),
            Some(_) => return Self::Unconfirmed(Reason::MayBeRevoked),
            None => {}
        }
        let reason = match key {
            PresentedKey::Absent => Reason::NoKey,
            _ => Reason::UnknownKey,
        };
        if freshness.confirmed_at >= freshness.arrived_at {
            Self::Denied(reason)
        } else {
            Self::Unconfirmed(reason)
        }
    }
}
