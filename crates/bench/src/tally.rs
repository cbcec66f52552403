//! Counts and latencies of the answers that callers got.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use wire::Class;

use crate::Outcome;

/// Counts and latencies of one stream.
#[derive(Clone, Debug)]
pub struct StreamStats {
    /// Number of answers by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Times from the scheduled arrival of a request to its answer "done", in microseconds.
    pub done: Histogram<u64>,
    /// Times to any other answer, in microseconds.
    pub other: Histogram<u64>,
}

/// Counts and latencies of all streams.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Statistics by name of the stream.
    pub streams: BTreeMap<String, StreamStats>,
}

/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

impl Default for StreamStats {
    fn default() -> Self {
        #[allow(
            clippy::unwrap_used,
            reason = "a precision of three digits is always accepted"
        )]
        let empty = Histogram::new(SIGNIFICANT_DIGITS).unwrap();
        Self {
            outcomes: BTreeMap::new(),
            done: empty.clone(),
            other: empty,
        }
    }
}

impl Tally {
    /// Records an answer and its latency since the scheduled arrival of the request.
    pub fn record(&mut self, stream: &str, outcome: Outcome, elapsed: Duration) {
        let stats = self.streams.entry(stream.to_owned()).or_default();
        *stats.outcomes.entry(label(outcome)).or_default() += 1;
        let times = match outcome {
            Outcome::Class(Class::Done) => &mut stats.done,
            _ => &mut stats.other,
        };
        // Can't fail: the histogram resizes itself to any duration.
        _ = times.record(elapsed.as_micros() as u64);
    }

    /// Formats all streams as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<26}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}\n",
            "stream",
            "done",
            "not-run",
            "may-have",
            "refused",
            "no-answ.",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "refusal p99"
        );
        for (name, stats) in &self.streams {
            let count = |label| stats.outcomes.get(label).copied().unwrap_or(0);
            let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1_000.0;
            text += &format!(
                "{name:<26}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9.1}{:>9.1}{:>9.1}{:>11.1}\n",
                count("done"),
                count("not-run"),
                count("may-have-run"),
                count("refused"),
                count("no-answer"),
                ms(&stats.done, 0.5),
                ms(&stats.done, 0.99),
                ms(&stats.done, 0.999),
                ms(&stats.other, 0.99),
            );
        }
        text
    }
}

const fn label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Class(class) => class.as_str(),
        Outcome::NotSent | Outcome::NoAnswer => "no-answer",
    }
}
