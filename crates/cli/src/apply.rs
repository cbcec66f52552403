//! Accepts a configuration.
//!
//! A configuration is written by compare-and-set, so that of two operators who race, one gets a
//! conflict. It counts as accepted once every live process has confirmed that it applies it; until
//! then the answer is "pending", with the names of those that are missing.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Cell, Change, ROW, Version, raw};
use placer::Session;
use platform::{Error, Table, Transaction};
use snafu::{ResultExt as _, Snafu};
use tokio::time::{Instant, sleep};

/// How often sessions are read while waiting.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// A session that has not changed for this long, while the table answered, belongs to a process
/// that does not serve: entries stop by themselves when they hear of no placer.
const DEAD_AFTER: Duration = Duration::from_secs(8);

/// Why a configuration was not written.
#[derive(Debug, Snafu)]
#[allow(missing_docs, reason = "the messages say what each field is")]
pub enum Refused {
    #[snafu(display("not accepted, nothing was changed: {source}"))]
    Check { source: config::Error },
    #[snafu(display(
        "conflict, nothing was changed: version {found} is in force, not {base}; look at \
         `lentilyoke config diff` and apply again"
    ))]
    Conflict { base: Version, found: Version },
    #[snafu(display(
        "the set of racks changes, which moves the homes of some keys and teams; stop what they \
         run and use --move-homes"
    ))]
    Homes,
    #[snafu(display("nothing was changed: {source}"))]
    Platform { source: Error },
    #[snafu(display("the table's answer was lost and it does not answer now; apply again"))]
    Unknown,
}

/// How far a written configuration has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// It is in force in all of so many processes.
    Accepted {
        /// Its version.
        version: Version,
        /// Number of processes.
        processes: usize,
    },
    /// It is written, and not in force in these processes yet.
    Pending {
        /// Its version.
        version: Version,
        /// The processes that have not confirmed it.
        missing: Vec<String>,
    },
}

/// The configuration in force with its version; version 0 if there is none.
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

/// How a configuration differs from the one in force.
#[must_use]
pub fn changes(old: Option<&raw::Cell>, new: &raw::Cell) -> Vec<Change> {
    config::diff(old.unwrap_or(&raw::Cell::default()), new)
}

/// Writes a configuration in place of version `base`; tells its version.
///
/// # Errors
/// [`Refused`], after which nothing was changed, unless it is [`Refused::Unknown`].
pub async fn write(
    table: &dyn Table,
    new: raw::Cell,
    base: Option<Version>,
    move_homes: bool,
) -> Result<Version, Refused> {
    let checked = Cell::try_from(new.clone()).context(CheckSnafu)?;
    let (found, old) = in_force(table).await.context(PlatformSnafu)?;
    let base = base.unwrap_or(found);
    if base != found {
        return ConflictSnafu { base, found }.fail();
    }
    let old = old.and_then(|old| Cell::try_from(old).ok());
    if old.is_some_and(|old| old.racks != checked.racks) && !move_homes {
        return HomesSnafu.fail();
    }
    let value = serde_json::to_string(&new).map_err(|_| Refused::Unknown)?;
    let transaction = Transaction::default()
        .check(ROW, base)
        .put(ROW, value.clone());
    match table.commit(transaction).await {
        Ok(version) => Ok(version),
        Err(Error::Conflict { rows }) => {
            let found = rows.first().map_or(0, |row| row.version);
            ConflictSnafu { base, found }.fail()
        }
        Err(Error::Lost { .. }) => find(table, base, &value).await,
        Err(source) => Err(Refused::Platform { source }),
    }
}

/// The answer was lost: the row itself shows whether it was written.
async fn find(table: &dyn Table, base: Version, value: &str) -> Result<Version, Refused> {
    let scan = table.scan(&[ROW], 0).await.map_err(|_| Refused::Unknown)?;
    let row = scan.rows.into_iter().find(|row| row.key == ROW);
    match row {
        Some(row) if row.value.as_deref() == Some(value) => Ok(row.version),
        Some(row) if row.version != base => ConflictSnafu {
            base,
            found: row.version,
        }
        .fail(),
        _ => Err(Refused::Unknown),
    }
}

/// Waits until every live process applies this version, at most so long.
pub async fn await_force(table: &dyn Table, version: Version, longest: Duration) -> Progress {
    let deadline = Instant::now() + longest;
    let mut watched = Watched::default();
    loop {
        if let Ok(scan) = table.scan(&[Session::PREFIX], 0).await {
            watched.learn(&scan.rows);
            let (processes, missing) = watched.missing(version);
            if missing.is_empty() {
                return Progress::Accepted { version, processes };
            }
        } else {
            watched.restart();
        }
        if Instant::now() >= deadline {
            let (_, missing) = watched.missing(version);
            return Progress::Pending { version, missing };
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Sessions as they change.
#[derive(Debug, Default)]
struct Watched {
    sessions: BTreeMap<String, (Session, Instant)>,
    answered: bool,
}

impl Watched {
    fn learn(&mut self, rows: &[platform::Row]) {
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
            let since = match self.sessions.get(&row.key) {
                Some((old, since)) if *old == session => *since,
                _ => now,
            };
            present.insert(row.key.clone(), (session, since));
        }
        self.sessions = present;
    }

    /// While the table is down no session changes, and that says nothing about any process.
    fn restart(&mut self) {
        let now = Instant::now();
        self.sessions
            .values_mut()
            .for_each(|(_, since)| *since = now);
    }

    /// Number of live processes, and those that have not confirmed.
    fn missing(&self, version: Version) -> (usize, Vec<String>) {
        if !self.answered {
            return (0, vec!["the platform's table does not answer".to_owned()]);
        }
        let live = self
            .sessions
            .iter()
            .filter(|(_, (_, since))| since.elapsed() < DEAD_AFTER);
        let mut processes = 0;
        let mut missing = Vec::new();
        for (key, (session, _)) in live {
            let name = key.trim_start_matches(Session::PREFIX).to_owned();
            let placer = std::iter::once((&name, &session.applied));
            for (process, applied) in placer.chain(&session.entries) {
                processes += 1;
                if *applied < version {
                    missing.push(process.clone());
                }
            }
        }
        (processes, missing)
    }
}
