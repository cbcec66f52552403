//! Why a host takes over a pool.

use std::fmt;

use crate::verdict::{Evidence, Verdict};

/// Why a host takes over a pool, or considers it.
pub(super) enum TakeoverReason {
    /// The pool has had no owner yet.
    NoOwnerYet,
    /// The owner has requested it.
    Requested,
    /// The owner's row names an earlier incarnation of this host.
    FormerOwner,
    /// The owner's host has answered with a new incarnation.
    OwnerRestarted,
    /// This host has lost its link to the owner, and witnesses are switched off.
    LinkLost,
    /// This host has lost its link to the owner, with the evidence of the owner itself, the witnesses and the store.
    Evidence(Evidence),
}

impl TakeoverReason {
    /// Whether the owner is lost for this reason.
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            Self::Evidence(evidence) => evidence.verdict(),
            _ => Verdict::Lost,
        }
    }
}

impl fmt::Display for TakeoverReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoOwnerYet => f.write_str("no owner yet"),
            Self::Requested => f.write_str("requested by the owner"),
            Self::FormerOwner => f.write_str("owned by an earlier incarnation of this host"),
            Self::OwnerRestarted => f.write_str("owner restarted"),
            Self::LinkLost => f.write_str("link to the owner lost, no witnesses asked"),
            Self::Evidence(evidence) => write!(f, "link to the owner lost, {evidence}"),
        }
    }
}
