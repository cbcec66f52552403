//! A placer's cached view of the platform's table.

use std::collections::{BTreeMap, BTreeSet};

use cell::{Now, Record};
use config::{Cell, home};
use platform::{Row, Scan, Version};
use resource::id;

use crate::{Options, Session};

/// Rows of the table as last read.
#[derive(Debug, Default)]
pub(crate) struct TableView {
    /// Version of the last transaction that is included.
    pub(crate) version: Version,
    /// Ownership records of racks with their row versions.
    pub(crate) records: BTreeMap<id::Rack, (Version, Record)>,
    /// The configuration with its row version.
    pub(crate) config: Option<(Version, config::raw::Cell)>,
    sessions: BTreeMap<id::Placer, SessionEntry>,
    reachable: bool,
    /// Incremented whenever the owner of a rack changes.
    pub(crate) generation: u64,
}

/// A placer's session and when it was last seen to change, by the clock of this process.
#[derive(Debug)]
struct SessionEntry {
    session: Session,
    changed: Now,
    /// Its port has refused connections since then, so it counts as crashed before the session
    /// timeout.
    connection_refused: bool,
}

impl TableView {
    /// Applies rows that were read; returns the racks whose owner changed.
    pub(crate) fn apply_scan(&mut self, scan: &Scan, now: Now) -> Vec<id::Rack> {
        // No session changes while the table is down. Without this reset, the first read after an
        // outage would show every placer as crashed and all racks would change owner at once.
        if !self.reachable {
            self.sessions
                .values_mut()
                .for_each(|seen| seen.changed = now);
        }
        self.reachable = true;
        self.version = self.version.max(scan.version);
        let changed: Vec<_> = scan
            .rows
            .iter()
            .filter_map(|row| self.apply_row(row, now))
            .collect();
        changed
    }

    /// Records that the table did not answer.
    pub(crate) fn set_unreachable(&mut self) {
        self.reachable = false;
    }

    /// Whether the last read of the table succeeded.
    pub(crate) const fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Applies one row; returns the rack if its owner changed.
    pub(crate) fn apply_row(&mut self, row: &Row, now: Now) -> Option<id::Rack> {
        if let Some(rack) = row.key.strip_prefix(Record::PREFIX) {
            return self.apply_record(rack, row);
        }
        if let Some(placer) = row.key.strip_prefix(Session::PREFIX) {
            self.apply_session(placer, row, now);
        } else if row.key == config::ROW
            && let Some(raw) = row
                .value
                .as_ref()
                .and_then(|v| serde_json::from_str(v).ok())
            && self
                .config
                .as_ref()
                .is_none_or(|(version, _)| *version < row.version)
        {
            self.config = Some((row.version, raw));
        }
        None
    }

    fn apply_record(&mut self, rack: &str, row: &Row) -> Option<id::Rack> {
        let record: Record = serde_json::from_str(row.value.as_ref()?).ok()?;
        let known = self.records.get(rack);
        if known.is_some_and(|(version, _)| *version >= row.version) {
            return None;
        }
        let same = known.is_some_and(|(_, k)| k.epoch == record.epoch && k.owner == record.owner);
        self.records.insert(rack.to_owned(), (row.version, record));
        self.generation += u64::from(!same);
        (!same).then(|| rack.to_owned())
    }

    fn apply_session(&mut self, placer: &str, row: &Row, now: Now) {
        let session = row
            .value
            .as_ref()
            .and_then(|v| serde_json::from_str(v).ok());
        match session {
            Some(session) => {
                self.sessions.insert(
                    placer.to_owned(),
                    SessionEntry {
                        session,
                        changed: now,
                        connection_refused: false,
                    },
                );
            }
            None => {
                self.sessions.remove(placer);
            }
        }
    }

    /// Running placers with their sessions.
    pub(crate) fn live(&self, now: Now, options: &Options) -> Vec<(&id::Placer, &Session)> {
        let live = |seen: &SessionEntry| {
            !seen.connection_refused && now.saturating_sub(seen.changed) < options.session_timeout
        };
        let sessions = self.sessions.iter().filter(|(_, seen)| live(seen));
        sessions.map(|(name, seen)| (name, &seen.session)).collect()
    }

    /// The placer that should own each rack: one of the rack's own region if any runs there.
    pub(crate) fn desired_owners(
        &self,
        cell: &Cell,
        now: Now,
        options: &Options,
    ) -> BTreeMap<id::Rack, id::Placer> {
        let live = self.live(now, options);
        let candidates: Vec<_> = live.into_iter().filter(|(_, s)| !s.draining).collect();
        let mut desired_owners = BTreeMap::new();
        let regions: BTreeSet<&str> = cell.racks.values().map(|r| r.region.as_str()).collect();
        for region in regions {
            let local = candidates
                .iter()
                .filter(|(_, s)| s.region == region)
                .map(|(n, _)| *n);
            let local: Vec<&id::Placer> = local.collect();
            let all = candidates.iter().map(|(n, _)| *n).collect();
            let members = if local.is_empty() { all } else { local };
            let owners = home::divide(cell.racks_in(region), &members);
            desired_owners.extend(owners.into_iter().map(|(r, p)| (r.to_owned(), p.clone())));
        }
        desired_owners
    }

    /// The placer that writes the claims of this data centre, with its address.
    pub(crate) fn claim_writer(&self, now: Now, options: &Options) -> Option<(&id::Placer, &str)> {
        let live = self.live(now, options);
        let local = live
            .iter()
            .filter(|(_, s)| s.data_centre == options.data_centre);
        let names: Vec<&id::Placer> = local
            .filter(|(_, s)| !s.draining)
            .map(|(n, _)| *n)
            .collect();
        let name = home::rendezvous(names, &options.data_centre)?;
        Some((name, self.sessions.get(name)?.session.address.as_str()))
    }

    /// Addresses of the running placers of one region, or of all regions.
    pub(crate) fn addresses(
        &self,
        region: Option<&str>,
        now: Now,
        options: &Options,
    ) -> Vec<String> {
        let live = self.live(now, options);
        let wanted = live
            .iter()
            .filter(|(_, s)| region.is_none_or(|r| r == s.region));
        wanted.map(|(_, s)| s.address.clone()).collect()
    }

    /// Records that the placer at this address refuses connections.
    ///
    /// It counts as crashed until its session changes again. If it runs after all, the epochs fence
    /// it off.
    pub(crate) fn set_connection_refused(&mut self, address: &str) {
        let seen = self
            .sessions
            .values_mut()
            .filter(|seen| seen.session.address == address);
        seen.for_each(|seen| seen.connection_refused = true);
    }

    /// Whether a placer counts as running.
    pub(crate) fn is_live(&self, placer: &str, now: Now, options: &Options) -> bool {
        self.live(now, options)
            .iter()
            .any(|(name, _)| *name == placer)
    }
}
