//! Ids that were cancelled before any job had them.
//!
//! A caller may cancel a job whose insert has no answer. The job's row is absent then, and yet the store may carry the insert out
//! seconds later: an absent row doesn't prove that the job will not run. So the host that answers "no such job" first writes a row of
//! its own under the id. An insert requires that row to be absent, which makes each insert that was sent before fail.
//!
//! A withdrawal binds the jobs that its callers may access. One of another customer may still be submitted under the id: its row
//! replaces the withdrawal. A bound job is stored as cancelled when it is submitted later, so that its caller sees its state.

use pool::Job;
use serde::{Deserialize, Serialize};

use crate::access::Caller;
use crate::interfaces::Transaction;
use crate::rows::{JOBS, job_part};

/// Beginning of the value of a withdrawal's row, by which it is told from the row of a job without parsing that.
const VALUE_PREFIX: &[u8] = b"{\"withdrawn\":";

/// An id that was cancelled before any job had it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// The pool whose owner deletes the row after the retention period.
    pub pool: u32,
    /// The callers that have cancelled the id.
    pub callers: Vec<Caller>,
}

/// Value of the row of a withdrawal.
#[derive(Deserialize, Serialize)]
struct WithdrawalRow<W> {
    withdrawn: W,
}

impl Withdrawal {
    /// Whether this is the value of a withdrawal's row.
    #[must_use]
    pub fn is_row(value: &[u8]) -> bool {
        value.starts_with(VALUE_PREFIX)
    }

    /// Parses the value of a row under the id of a job; `None` if it isn't a withdrawal.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        if !Self::is_row(value) {
            return None;
        }
        let row: WithdrawalRow<Self> = serde_json::from_slice(value).ok()?;
        Some(row.withdrawn)
    }

    /// Adds a caller; returns `false` if it was named already.
    pub fn add(&mut self, caller: &Caller) -> bool {
        let is_new = !self.callers.contains(caller);
        if is_new {
            self.callers.push(caller.clone());
        }
        is_new
    }

    /// Whether one of the callers may access the job, and so has cancelled it.
    #[must_use]
    pub fn binds(&self, job: &Job) -> bool {
        let mut callers = self.callers.iter();
        callers.any(|caller| caller.may_access(&job.customer, &job.queue))
    }

    /// The transaction that writes the row of this id if its row still has this version; 0 if there is none.
    ///
    /// # Errors
    /// If the row can't be encoded.
    pub fn write(&self, id: &str, version: u64) -> Result<Transaction, serde_json::Error> {
        let value = serde_json::to_vec(&WithdrawalRow { withdrawn: self })?;
        Ok(Transaction {
            part: job_part(id),
            checks: vec![(JOBS.to_owned(), id.to_owned(), version)],
            puts: vec![(JOBS.to_owned(), id.to_owned(), value)],
            ..Transaction::default()
        })
    }
}
