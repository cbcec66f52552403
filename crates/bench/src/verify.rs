//! Compares the answers that callers got with the journals of the workers.

use std::collections::HashMap;

use serde::Deserialize;
use wire::Class;

use crate::{Outcome, RequestRecord};

/// Run of a quick request on a worker.
#[derive(Clone, Debug, Deserialize)]
pub struct Span {
    /// Team and id.
    pub id: String,
    /// Service and key.
    pub key: String,
    /// Start in wall-clock milliseconds.
    pub from: u64,
    /// End in wall-clock milliseconds; `None` if it has not ended.
    pub until: Option<u64>,
}

/// Record of the work of one worker.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Journal {
    /// Quick requests that it ran.
    pub runs: Vec<Span>,
    /// Task attempts that it started.
    pub starts: Vec<String>,
    /// How often its work exceeded its capacity.
    pub over: u32,
}

/// Number of violations of each kind; all zero if every answer was true.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Requests that were answered "not run", but ran.
    pub ran_despite_not_run: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
    /// Requests that were answered "done", but never ran.
    pub never_ran: u64,
    /// Pairs of runs of one key that overlapped in time.
    pub key_overlaps: u64,
    /// Requests that got the answer to another request.
    pub mismatched: u64,
    /// How often the work of a worker exceeded its capacity.
    pub over_capacity: u64,
    /// Task attempts that were started more than once.
    pub started_twice: u64,
}

impl Findings {
    /// Whether there is no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Compares the answers to requests with the workers' journals.
#[must_use]
pub fn check(requests: &[RequestRecord], journals: &[Journal]) -> Findings {
    let mut findings = Findings::default();
    let spans: Vec<&Span> = journals.iter().flat_map(|j| &j.runs).collect();
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for span in &spans {
        *runs.entry(&span.id).or_default() += 1;
    }
    for request in requests {
        let n = runs.get(request.id.as_str()).copied().unwrap_or(0);
        let got = |class| request.outcomes.contains(&Outcome::Class(class));
        let only = |class| request.outcomes.iter().all(|o| *o == Outcome::Class(class));
        findings.ran_despite_not_run += u64::from(only(Class::NotRun) && n > 0);
        findings.ran_twice += u64::from(!request.idempotent && n > 1);
        findings.never_ran += u64::from(got(Class::Done) && n == 0);
        findings.mismatched += u64::from(request.mismatched);
    }
    findings.key_overlaps = overlaps(&spans);
    findings.over_capacity = journals.iter().map(|j| u64::from(j.over)).sum();
    let mut starts: HashMap<&str, u64> = HashMap::new();
    for start in journals.iter().flat_map(|j| &j.starts) {
        *starts.entry(start).or_default() += 1;
    }
    findings.started_twice = starts.values().filter(|n| **n > 1).count() as u64;
    findings
}

/// Counts the pairs of consecutive runs of one key, on any workers, that overlap in time.
fn overlaps(spans: &[&Span]) -> u64 {
    let mut by_key: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for span in spans {
        if let Some(until) = span.until {
            by_key
                .entry(&span.key)
                .or_default()
                .push((span.from, until));
        }
    }
    let mut pairs = 0;
    for spans in by_key.values_mut() {
        spans.sort_unstable();
        pairs += spans
            .windows(2)
            .filter(|pair| pair[1].0 < pair[0].1)
            .count() as u64;
    }
    pairs
}
