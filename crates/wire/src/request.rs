//! A quick request, as sent to the owner of its rack.

use std::time::Duration;

use resource::id;
use serde::{Deserialize, Serialize};

use crate::Body;

/// A quick request, validated by the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Id chosen by the caller, unique within the team.
    pub id: id::Request,
    /// The team that sends the request.
    pub team: id::Team,
    /// The service that handles the request.
    pub service: id::Service,
    /// The entity that it works on.
    pub key: id::Key,
    /// Whether running it more than once is harmless.
    pub idempotent: bool,
    /// Time from sending this message to the caller's deadline, in milliseconds.
    pub budget_ms: u64,
    /// Body of the request.
    pub body: Body,
}

impl Request {
    /// Time from sending this message to the caller's deadline.
    #[must_use]
    pub const fn budget(&self) -> Duration {
        Duration::from_millis(self.budget_ms)
    }

    /// Whether both are the same request; their budgets may differ.
    #[must_use]
    pub fn is_same_as(&self, other: &Self) -> bool {
        self.id == other.id
            && self.team == other.team
            && self.service == other.service
            && self.key == other.key
            && self.idempotent == other.idempotent
            && self.body == other.body
    }
}
