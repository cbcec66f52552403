//! A rack's row in the platform's table.

use resource::id;
use serde::{Deserialize, Serialize};

use crate::fence::Roster;

/// Who owns a rack; changed only by compare-and-set.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The placer; `None` if nobody owns the rack.
    pub owner: Option<id::Placer>,
    /// The owner's address, `ip:port`.
    pub address: String,
    /// Rises with every take.
    pub epoch: id::Epoch,
    /// Rosters under which an owner may still act; the last one is the present owner's.
    pub rosters: Vec<Roster>,
}

impl Record {
    /// Prefix of the rows of all racks.
    pub const PREFIX: &str = "rack/";

    /// Key of a rack's row.
    #[must_use]
    pub fn key(rack: &str) -> String {
        format!("{}{rack}", Self::PREFIX)
    }

    /// The row that takes the rack for another owner.
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

    /// The row once its owner has fenced all earlier ones: their rosters count no more.
    #[must_use]
    pub fn without_earlier_rosters(&self) -> Self {
        let rosters = self.rosters.last().cloned().into_iter().collect();
        Self {
            rosters,
            ..self.clone()
        }
    }

    /// The row after its owner has let go.
    #[must_use]
    pub fn released(&self) -> Self {
        Self {
            owner: None,
            address: String::new(),
            ..self.clone()
        }
    }
}
