//! Who owns a pool, and which workers that owner may use: two rows.
//!
//! Hosts that look for an owner follow the owners' rows alone, which are small and change with the owner and its heirs. The
//! roster is larger and changes with each worker that falls silent, so it is a row of its own.

use serde::de::DeserializeOwned;

use crate::interfaces::Row;
use crate::rows::{OWNER, OwnerRow, ROSTER, RosterRow};

/// An owner's row with its roster.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claim {
    pub owner: OwnerRow,
    pub roster: RosterRow,
}

/// The transactions that wrote the two rows last; 0 for a row that isn't there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ClaimVersion {
    pub owner: u64,
    pub roster: u64,
}

impl ClaimVersion {
    /// The conditions under which the claim is still as it was. A write of either row makes every other write with these
    /// conditions impossible.
    pub(crate) fn checks(self) -> Vec<(String, String, u64)> {
        [(OWNER, self.owner), (ROSTER, self.roster)]
            .map(|(table, version)| (table.to_owned(), table.to_owned(), version))
            .to_vec()
    }
}

impl Claim {
    /// The write of the owner's row.
    ///
    /// # Errors
    /// If it can't be encoded.
    pub(crate) fn put_owner(&self) -> serde_json::Result<(String, String, Vec<u8>)> {
        Ok((
            OWNER.to_owned(),
            OWNER.to_owned(),
            serde_json::to_vec(&self.owner)?,
        ))
    }

    /// The write of the roster.
    ///
    /// # Errors
    /// If it can't be encoded.
    pub(crate) fn put_roster(&self) -> serde_json::Result<(String, String, Vec<u8>)> {
        Ok((
            ROSTER.to_owned(),
            ROSTER.to_owned(),
            serde_json::to_vec(&self.roster)?,
        ))
    }

    /// The claim among these rows, with its version; `None` if one of the rows isn't there.
    pub(crate) fn find(rows: &[Row]) -> Option<(Self, ClaimVersion)> {
        let (owner, written) = parse(rows, OWNER)?;
        let (roster, listed) = parse(rows, ROSTER)?;
        let version = ClaimVersion {
            owner: written,
            roster: listed,
        };
        Some((Self { owner, roster }, version))
    }
}

/// The row of a table whose only key is its name.
pub(crate) fn parse<T: DeserializeOwned>(rows: &[Row], table: &str) -> Option<(T, u64)> {
    let row = rows
        .iter()
        .find(|row| row.table == table && row.key == table)?;
    let value = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((value, row.version))
}
