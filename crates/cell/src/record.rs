//! A rack's row in the platform's table.

use resource::id;
use serde::{Deserialize, Serialize};

use crate::fence::Roster;

/// Owner of a rack; changed only by compare-and-set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Name of the owning placer; `None` if the rack has no owner.
    pub owner: Option<id::Placer>,
    /// Address of the owner, `ip:port`.
    pub address: String,
    /// Increases with each change of owner or roster.
    pub epoch: id::Epoch,
    /// Rosters under which an owner may still act; the last one belongs to the current owner.
    pub rosters: Vec<Roster>,
}

impl Record {
    /// Prefix of the keys of these rows.
    pub const PREFIX: &str = "rack/";

    /// Key of a rack's row.
    #[must_use]
    pub fn key(rack: &str) -> String {
        format!("{}{rack}", Self::PREFIX)
    }

    /// The row after another owner, or the same one again, has taken the rack.
    ///
    /// ```
    /// use cell::Record;
    ///
    /// let nobody = Record::default();
    /// let first = nobody.acquired_by("p1", "127.0.0.1:1", ["w0".to_owned()].into());
    /// assert_eq!(first.epoch, 1);
    /// let second = first.acquired_by("p2", "127.0.0.1:2", ["w1".to_owned()].into());
    /// assert_eq!(second.epoch, 2);
    /// assert_eq!(second.rosters.len(), 2);
    /// ```
    #[must_use]
    pub fn acquired_by(&self, placer: &str, address: &str, roster: Roster) -> Self {
        let mut rosters = self.rosters.clone();
        rosters.retain(|old| *old != roster);
        rosters.push(roster);
        Self {
            owner: Some(placer.to_owned()),
            address: address.to_owned(),
            epoch: self.epoch + 1,
            rosters,
        }
    }

    /// The row once its owner has fenced all earlier owners: their rosters no longer count.
    #[must_use]
    pub fn without_earlier_rosters(&self) -> Self {
        let rosters = self.rosters.last().cloned().into_iter().collect();
        Self {
            rosters,
            ..self.clone()
        }
    }

    /// The row after its owner has released the rack.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            owner: None,
            address: String::new(),
            ..self.clone()
        }
    }
}
