//! Why a host takes a pool.

use std::fmt;

use crate::verdict::{Evidence, Verdict};

/// Why a host takes a pool.
pub(super) enum Grounds {
    /// The pool has had no owner yet.
    NoOwnerYet,
    /// The owner wants it.
    Urged,
    /// The row names an earlier life of this host.
    EarlierLife,
    /// The owner's host has said that its life is over.
    LifeOver,
    /// The owner is lost to this host, and others are not asked.
    NotAsked,
    /// The owner is lost to this host, and this is what others say.
    Evidence(Evidence),
}

impl Grounds {
    /// What follows from them.
    pub(super) fn verdict(&self) -> Verdict {
        match self {
            Self::Evidence(evidence) => evidence.verdict(),
            _ => Verdict::Lost,
        }
    }
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoOwnerYet => f.write_str("no owner yet"),
            Self::Urged => f.write_str("urged by the owner"),
            Self::EarlierLife => f.write_str("owned it in an earlier life"),
            Self::LifeOver => f.write_str("the owner's life is over"),
            Self::NotAsked => f.write_str("lost the owner, nobody asked"),
            Self::Evidence(evidence) => write!(f, "lost the owner, {evidence}"),
        }
    }
}
