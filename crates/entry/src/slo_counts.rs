//! Counts what service levels are judged by: per minute, service and team, how many requests came
//! and how many of them were done within the objective.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Minutes that are kept: six hours.
const KEEP: usize = 360;

/// One minute of one service and team.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Minute {
    /// Minutes since 1970.
    pub minute: u64,
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// Requests that came, without those that callers got wrong.
    pub all: u64,
    /// Those that were done within the objective.
    pub good: u64,
    /// The objective, such as 0.999.
    pub objective: f64,
}

/// One minute, by service and team.
type Counts = BTreeMap<(String, String), Minute>;

/// The last hours, minute by minute.
#[derive(Debug, Default)]
pub struct Burn {
    minutes: Mutex<VecDeque<(u64, Counts)>>,
}

impl Burn {
    /// Counts one request.
    pub fn count(&self, service: &str, team: &str, objective: f64, good: bool) {
        let minute = minute();
        let mut minutes = self.minutes.lock().unwrap_or_else(PoisonError::into_inner);
        if minutes.back().is_none_or(|(at, _)| *at != minute) {
            minutes.push_back((minute, BTreeMap::new()));
        }
        while minutes.len() > KEEP {
            minutes.pop_front();
        }
        let Some((_, counts)) = minutes.back_mut() else {
            return;
        };
        let name = (service.to_owned(), team.to_owned());
        let count = counts.entry(name).or_insert_with(|| Minute {
            minute,
            service: service.to_owned(),
            team: team.to_owned(),
            objective,
            ..Minute::default()
        });
        count.all += 1;
        count.good += u64::from(good);
        count.objective = objective;
    }

    /// All that is kept.
    pub fn minutes(&self) -> Vec<Minute> {
        let minutes = self.minutes.lock().unwrap_or_else(PoisonError::into_inner);
        minutes
            .iter()
            .flat_map(|(_, counts)| counts.values().cloned())
            .collect()
    }
}

fn minute() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    since.as_secs() / 60
}
