//! One quick request on its way to the owner of its rack.

use std::time::Duration;

use resource::id;
use serde::{Deserialize, Serialize};

use crate::Body;

/// A quick request, checked by the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// The caller's own name for it, unique within the team.
    pub id: id::Request,
    /// The team that asks.
    pub team: id::Team,
    /// The service that is asked.
    pub service: id::Service,
    /// What it works on.
    pub key: id::Key,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time left to the caller's deadline when it was sent, in milliseconds.
    pub budget_ms: u64,
    /// What is asked.
    pub body: Body,
}

impl Request {
    /// Time left to the caller's deadline when it was sent.
    #[must_use]
    pub const fn budget(&self) -> Duration {
        Duration::from_millis(self.budget_ms)
    }

    /// Whether this is the same request asked again, whatever its time left.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
        self.id == other.id
            && self.team == other.team
            && self.service == other.service
            && self.key == other.key
            && self.idempotent == other.idempotent
            && self.body == other.body
    }
}
