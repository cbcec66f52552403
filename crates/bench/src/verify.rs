//! Holds the answers that callers got against what the workers really did.

use std::collections::HashMap;

use serde::Deserialize;
use wire::Class;

use crate::{Asked, Outcome};

/// One quick request that a worker ran.
#[derive(Clone, Debug, Deserialize)]
pub struct Span {
    /// Team and id.
    pub id: String,
    /// Service and key.
    pub key: String,
    /// When it began, in milliseconds of the wall clock.
    pub from: u64,
    /// When it ended.
    pub until: Option<u64>,
}

/// What a worker did.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Journal {
    /// Quick requests that it ran.
    pub runs: Vec<Span>,
    /// Task attempts that it started.
    pub starts: Vec<String>,
    /// How often what it held was more than it has.
    pub over: u32,
}

/// What was found untrue; all zero if everything was true.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Told "not run", but it ran.
    pub ran_after_all: u64,
    /// Non-idempotent, and ran more than once.
    pub ran_twice: u64,
    /// Told "done", but it never ran.
    pub never_ran: u64,
    /// Two runs for one key at one time.
    pub key_twice: u64,
    /// The answer was to another request.
    pub foreign: u64,
    /// A worker held more than it has.
    pub over: u64,
    /// A task attempt was started twice.
    pub attempt_twice: u64,
}

impl Findings {
    /// Whether everything was true.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Compares answers with journals.
#[must_use]
pub fn check(asked: &[Asked], journals: &[Journal]) -> Findings {
    let mut findings = Findings::default();
    let spans: Vec<&Span> = journals.iter().flat_map(|j| &j.runs).collect();
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for span in &spans {
        *runs.entry(&span.id).or_default() += 1;
    }
    for request in asked {
        let n = runs.get(request.id.as_str()).copied().unwrap_or(0);
        let got = |class| request.outcomes.contains(&Outcome::Class(class));
        let only = |class| request.outcomes.iter().all(|o| *o == Outcome::Class(class));
        findings.ran_after_all += u64::from(only(Class::NotRun) && n > 0);
        findings.ran_twice += u64::from(!request.idempotent && n > 1);
        findings.never_ran += u64::from(got(Class::Done) && n == 0);
        findings.foreign += u64::from(request.foreign);
    }
    findings.key_twice = overlaps(&spans);
    findings.over = journals.iter().map(|j| u64::from(j.over)).sum();
    let mut starts: HashMap<&str, u64> = HashMap::new();
    for start in journals.iter().flat_map(|j| &j.starts) {
        *starts.entry(start).or_default() += 1;
    }
    findings.attempt_twice = starts.values().filter(|n| **n > 1).count() as u64;
    findings
}

/// Pairs of runs that worked on one key at one time, anywhere.
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
