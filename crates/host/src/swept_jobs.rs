//! Jobs that an owner has removed after their retention period, and whose rows it may still receive.

use pool::JobId;
use rustc_hash::FxHashMap;

/// Removed jobs, until the owner can't receive their rows any more.
///
/// A row may arrive after the removal: its deletion failed, or a list of all rows was read before the deletion. Taken for a row of a
/// new job, it would run the job a second time.
#[derive(Debug, Default)]
pub struct SweptJobs {
    /// The transaction that deleted the rows of each job; `None` if they are not deleted yet.
    deleted: FxHashMap<JobId, Option<u64>>,
}

impl SweptJobs {
    /// Adds removed jobs, whose rows are to be deleted.
    pub fn add(&mut self, ids: Vec<JobId>) {
        self.deleted.extend(ids.into_iter().map(|id| (id, None)));
    }

    /// Records the transaction that deleted the rows of these jobs.
    pub fn rows_deleted(&mut self, ids: &[JobId], version: u64) {
        let deleted = ids.iter().map(|id| (id.clone(), Some(version)));
        self.deleted.extend(deleted);
    }

    /// The jobs whose rows are not deleted yet.
    #[must_use]
    pub fn undeleted(&self) -> Vec<JobId> {
        let undeleted = self.deleted.iter().filter(|(_, it)| it.is_none());
        undeleted.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a row with this version is of a removed job. A later job may have the same id.
    #[must_use]
    pub fn contains(&self, id: &str, version: u64) -> bool {
        let deleted = self.deleted.get(id);
        deleted.is_some_and(|deleted| deleted.is_none_or(|at| version < at))
    }

    /// Forgets the jobs whose rows were deleted by this transaction or earlier: from now on the owner receives no older rows.
    pub fn forget_until(&mut self, version: u64) {
        self.deleted
            .retain(|_, deleted| deleted.is_none_or(|at| at > version));
    }
}
