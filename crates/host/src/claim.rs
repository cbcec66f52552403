//! The claim of a pool: a row that names the owner, and a row with the workers that this owner may use.
//!
//! Hosts that look for an owner follow only the owners' rows, which are small and change with the owner and its successors. The
//! roster is larger and changes whenever a worker becomes unreachable, so it has a row of its own.

use serde::de::DeserializeOwned;

use crate::interfaces::Row;
use crate::rows::{OWNER, OwnerRow, ROSTER, RosterRow};

/// The owner's row and the roster of a pool.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claim {
    pub owner: OwnerRow,
    pub roster: RosterRow,
}

/// The transactions that wrote the two rows last; 0 for a row that doesn't exist.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ClaimVersion {
    pub owner: u64,
    pub roster: u64,
}

impl ClaimVersion {
    /// The conditions that hold as long as the claim is unchanged. After a write of either row, no transaction with these
    /// conditions can succeed.
    pub(crate) fn checks(self) -> Vec<(String, String, u64)> {
        [(OWNER, self.owner), (ROSTER, self.roster)]
            .map(|(table, version)| (table.to_owned(), table.to_owned(), version))
            .to_vec()
    }
}

impl Claim {
    /// The write of the owner's row, for a transaction.
    ///
    /// # Errors
    /// If the row can't be encoded.
    pub(crate) fn put_owner(&self) -> serde_json::Result<(String, String, Vec<u8>)> {
        Ok((
            OWNER.to_owned(),
            OWNER.to_owned(),
            serde_json::to_vec(&self.owner)?,
        ))
    }

    /// The write of the roster, for a transaction.
    ///
    /// # Errors
    /// If the row can't be encoded.
    pub(crate) fn put_roster(&self) -> serde_json::Result<(String, String, Vec<u8>)> {
        Ok((
            ROSTER.to_owned(),
            ROSTER.to_owned(),
            serde_json::to_vec(&self.roster)?,
        ))
    }

    /// Finds the claim and its version among these rows; `None` if one of its two rows is missing.
    pub(crate) fn find(rows: &[Row]) -> Option<(Self, ClaimVersion)> {
        let (owner, owner_version) = parse(rows, OWNER)?;
        let (roster, roster_version) = parse(rows, ROSTER)?;
        let version = ClaimVersion {
            owner: owner_version,
            roster: roster_version,
        };
        Some((Self { owner, roster }, version))
    }
}

/// Finds and decodes the row of a table that has only one row, whose key is the name of the table; returns it with its version.
pub(crate) fn parse<T: DeserializeOwned>(rows: &[Row], table: &str) -> Option<(T, u64)> {
    let row = rows
        .iter()
        .find(|row| row.table == table && row.key == table)?;
    let value = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((value, row.version))
}
