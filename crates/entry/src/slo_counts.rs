//! Request counts for service-level objectives: per minute, service and team, how many requests
//! were received and how many of them completed within the target latency.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Number of minutes with requests that are retained: six hours under steady load.
const KEPT_MINUTES: usize = 360;

/// Counts of one service and team in one minute.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SloMinute {
    /// Start of the minute, in minutes since the Unix epoch.
    pub minute: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the team.
    pub team: String,
    /// Requests received, without those refused because of a mistake of the caller.
    pub all: u64,
    /// Requests completed within the target latency of the service.
    pub good: u64,
    /// Required share of good requests, such as 0.999.
    pub objective: f64,
}

/// Counts of one minute, by service and team.
type MinuteCounts = BTreeMap<(String, String), SloMinute>;

/// Counts of the retention period, oldest minute first.
#[derive(Debug, Default)]
pub struct SloCounts {
    minutes: Mutex<VecDeque<(u64, MinuteCounts)>>,
}

impl SloCounts {
    /// Adds one request to the current minute and drops minutes past the retention period.
    pub fn count(&self, service: &str, team: &str, objective: f64, good: bool) {
        let minute = current_minute();
        let mut minutes = self.minutes.lock().unwrap_or_else(PoisonError::into_inner);
        if minutes.back().is_none_or(|(at, _)| *at != minute) {
            minutes.push_back((minute, BTreeMap::new()));
        }
        while minutes.len() > KEPT_MINUTES {
            minutes.pop_front();
        }
        let Some((_, counts)) = minutes.back_mut() else {
            return;
        };
        let key = (service.to_owned(), team.to_owned());
        let count = counts.entry(key).or_insert_with(|| SloMinute {
            minute,
            service: service.to_owned(),
            team: team.to_owned(),
            objective,
            ..SloMinute::default()
        });
        count.all += 1;
        count.good += u64::from(good);
        count.objective = objective;
    }

    /// All retained counts, oldest minute first.
    pub fn minutes(&self) -> Vec<SloMinute> {
        let minutes = self.minutes.lock().unwrap_or_else(PoisonError::into_inner);
        minutes
            .iter()
            .flat_map(|(_, counts)| counts.values().cloned())
            .collect()
    }
}

fn current_minute() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    since_epoch.as_secs() / 60
}
