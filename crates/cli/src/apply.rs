//! Writes a configuration and waits until it is in force.
//!
//! A configuration is written by compare-and-set, so that of two operators who race, one gets a
//! conflict. It is accepted once every live process has confirmed that it applies the new version.
//! Until then the result is "pending", with the names of the processes that have not confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Cell, Change, ROW, Version, raw};
use placer::Session;
use platform::{Error, Table, Transaction};
use snafu::{ResultExt as _, Snafu};
use tokio::time::{Instant, sleep};

/// Interval between reads of the sessions while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// A session that has not changed for this long, while the table answered, belongs to a process
/// that no longer serves. Its entries stop by themselves when they lose contact with every placer.
const SESSION_TIMEOUT: Duration = Duration::from_secs(8);

/// Reason why a configuration was not written.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the messages describe each field")]
pub enum WriteError {
    #[snafu(display("not accepted, nothing was changed: {source}"))]
    Check { source: config::Error },
    #[snafu(display(
        "conflict, nothing was changed: version {found} is in force, not {base}; look at \
         `lentilyoke config diff` and apply again"
    ))]
    Conflict { base: Version, found: Version },
    #[snafu(display(
        "the set of racks changes, which moves the home racks of some keys and teams; stop their \
         work and use --move-homes"
    ))]
    RacksChanged,
    #[snafu(display("nothing was changed: {source}"))]
    Platform { source: Error },
    #[snafu(display(
        "the table's answer was lost and the table does not respond now; apply again"
    ))]
    Unknown,
}

/// Progress of a written configuration towards being in force everywhere.
#[derive(Clone, Debug, PartialEq)]
pub enum Rollout {
    /// All live processes apply it.
    Accepted {
        /// Version of the configuration.
        version: Version,
        /// Number of live processes.
        processes: usize,
    },
    /// It is written, but some processes do not apply it yet.
    Pending {
        /// Version of the configuration.
        version: Version,
        /// Names of the processes that have not confirmed it.
        unconfirmed: Vec<String>,
    },
}

/// Returns the configuration in force with its version; version 0 if there is none.
///
/// # Errors
/// If the table does not answer.
pub async fn in_force(table: &dyn Table) -> Result<(Version, Option<raw::Cell>), Error> {
    let scan = table.scan(&[ROW], 0).await?;
    let row = scan
        .rows
        .into_iter()
        .find(|row| row.key == ROW && row.value.is_some());
    let Some(row) = row else {
        return Ok((0, None));
    };
    let cell = row
        .value
        .as_ref()
        .and_then(|value| serde_json::from_str(value).ok());
    Ok((row.version, cell))
}

/// Returns the differences between a configuration and the one in force.
#[must_use]
pub fn changes(old: Option<&raw::Cell>, new: &raw::Cell) -> Vec<Change> {
    config::diff(old.unwrap_or(&raw::Cell::default()), new)
}

/// Replaces version `base` with a new configuration; returns the new version. Without `base` it
/// replaces the version in force.
///
/// # Errors
/// [`WriteError`], after which nothing was changed, unless it is [`WriteError::Unknown`].
pub async fn write(
    table: &dyn Table,
    new: raw::Cell,
    base: Option<Version>,
    move_homes: bool,
) -> Result<Version, WriteError> {
    let checked = Cell::try_from(new.clone()).context(CheckSnafu)?;
    let (found, old) = in_force(table).await.context(PlatformSnafu)?;
    let base = base.unwrap_or(found);
    if base != found {
        return ConflictSnafu { base, found }.fail();
    }
    let old = old.and_then(|old| Cell::try_from(old).ok());
    if old.is_some_and(|old| old.racks != checked.racks) && !move_homes {
        return RacksChangedSnafu.fail();
    }
    let value = serde_json::to_string(&new).map_err(|_| WriteError::Unknown)?;
    let transaction = Transaction::default()
        .check(ROW, base)
        .put(ROW, value.clone());
    match table.commit(transaction).await {
        Ok(version) => Ok(version),
        Err(Error::Conflict { rows }) => {
            let found = rows.first().map_or(0, |row| row.version);
            ConflictSnafu { base, found }.fail()
        }
        Err(Error::Lost { .. }) => find_written(table, base, &value).await,
        Err(source) => Err(WriteError::Platform { source }),
    }
}

/// Reads the row after a lost answer to find out whether the configuration was written.
async fn find_written(
    table: &dyn Table,
    base: Version,
    value: &str,
) -> Result<Version, WriteError> {
    let scan = table
        .scan(&[ROW], 0)
        .await
        .map_err(|_| WriteError::Unknown)?;
    let row = scan.rows.into_iter().find(|row| row.key == ROW);
    match row {
        Some(row) if row.value.as_deref() == Some(value) => Ok(row.version),
        Some(row) if row.version != base => ConflictSnafu {
            base,
            found: row.version,
        }
        .fail(),
        _ => Err(WriteError::Unknown),
    }
}

/// Waits until every live process applies this version, for `timeout` at most.
pub async fn wait_until_in_force(
    table: &dyn Table,
    version: Version,
    timeout: Duration,
) -> Rollout {
    let deadline = Instant::now() + timeout;
    let mut tracker = SessionTracker::default();
    loop {
        if let Ok(scan) = table.scan(&[Session::PREFIX], 0).await {
            tracker.update(&scan.rows);
            let (processes, unconfirmed) = tracker.unconfirmed(version);
            if unconfirmed.is_empty() {
                return Rollout::Accepted { version, processes };
            }
        } else {
            tracker.reset_timers();
        }
        if Instant::now() >= deadline {
            let (_, unconfirmed) = tracker.unconfirmed(version);
            return Rollout::Pending {
                version,
                unconfirmed,
            };
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sessions of the placers, with the time since which each has not changed.
#[derive(Debug, Default)]
struct SessionTracker {
    sessions: BTreeMap<String, (Session, Instant)>,
    answered: bool,
}

impl SessionTracker {
    fn update(&mut self, rows: &[platform::Row]) {
        self.answered = true;
        let now = Instant::now();
        let mut present = BTreeMap::new();
        for row in rows {
            let value = row
                .value
                .as_ref()
                .and_then(|v| serde_json::from_str(v).ok());
            let Some(session) = value else {
                continue;
            };
            let unchanged_since = match self.sessions.get(&row.key) {
                Some((old, unchanged_since)) if *old == session => *unchanged_since,
                _ => now,
            };
            present.insert(row.key.clone(), (session, unchanged_since));
        }
        self.sessions = present;
    }

    /// Restarts the time-outs of all sessions. While the table is down no session changes, which does
    /// not show that its process has crashed.
    fn reset_timers(&mut self) {
        let now = Instant::now();
        self.sessions
            .values_mut()
            .for_each(|(_, unchanged_since)| *unchanged_since = now);
    }

    /// Returns the number of live processes and the names of those that do not apply this version.
    fn unconfirmed(&self, version: Version) -> (usize, Vec<String>) {
        if !self.answered {
            return (0, vec!["the platform's table does not answer".to_owned()]);
        }
        let live = self
            .sessions
            .iter()
            .filter(|(_, (_, unchanged_since))| unchanged_since.elapsed() < SESSION_TIMEOUT);
        let mut processes = 0;
        let mut unconfirmed = Vec::new();
        for (key, (session, _)) in live {
            let name = key.trim_start_matches(Session::PREFIX).to_owned();
            let placer = std::iter::once((&name, &session.applied));
            for (process, applied) in placer.chain(&session.entries) {
                processes += 1;
                if *applied < version {
                    unconfirmed.push(process.clone());
                }
            }
        }
        (processes, unconfirmed)
    }
}
