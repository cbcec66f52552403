//! The platform's store as PROTOCOL.md tells: tables of rows, transactions, feeds. Its responses are linearizable, it keeps all of
//! its history, and it answers after the time that the settings name.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64, base64_length};

/// Limits of PROTOCOL.md and of the settings.
const MAX_ENTRIES: usize = 100;
const MAX_BODY: usize = 1 << 20;
pub const ROW_BYTES: usize = 65_536;
const MAX_ROWS: usize = 500;
/// An answer takes 4 ms, of which a transaction takes 3.
const LATENCY: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: i64,
    rows: BTreeMap<Key, (String, i64)>,
    /// All changes in order; a dropped row has no value.
    history: Vec<(i64, Key, Option<String>)>,
    /// Rows that were refused since they were too large, with their sizes.
    refused: Vec<(String, usize)>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn row(key: &Key, value: Option<&str>, version: i64) -> Json {
    let text = |text: &str| Json::Text(text.to_owned());
    let mut fields = vec![
        ("table".to_owned(), text(&key.0)),
        ("part".to_owned(), text(&key.1)),
        ("key".to_owned(), text(&key.2)),
        ("formatVersion".to_owned(), Json::Int(version)),
    ];
    match value {
        Some(value) => fields.push(("value".to_owned(), text(value))),
        None => fields.push(("tombstone".to_owned(), Json::Bool(true))),
    }
    Json::Map(fields)
}

fn key_of(entry: &Json) -> Key {
    let field = |name| entry.get(name).text().to_owned();
    (field("table"), field("part"), field("key"))
}

impl Store {
    /// Serves the store.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        let started = Instant::now();
        http::serve(listener, move |request| {
            std::thread::sleep(LATENCY);
            let (status, mut fields) = store.handle(&request);
            fields.push(("nowMs".to_owned(), Json::Int(started.elapsed().as_millis() as i64)));
            let mut body = String::new();
            Json::Map(fields).write(&mut body);
            (status, body)
        });
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64(value.as_bytes()));
        state.apply(key, value);
        changed.notify_all();
    }

    /// Rows that were refused since they were too large, with their sizes.
    pub fn refused(&self) -> Vec<(String, usize)> {
        self.state.0.lock().unwrap().refused.clone()
    }

    /// The value of a row, in base64.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        state.rows.get(&key).map(|(value, _)| value.clone())
    }

    fn handle(&self, request: &Request) -> (u16, Vec<(String, Json)>) {
        match request.path.as_str() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.get(request),
            "/rows-feed" => self.feed(request),
            "/rows-parts" => self.parts(request),
            _ => (404, Vec::new()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<(String, Json)>) {
        let transaction = Json::parse(body);
        let expected = transaction.get("expectedRev").list();
        let puts = transaction.get("setKeys").list();
        let drops = transaction.get("remove").list();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if body.len() > MAX_BODY || expected.len() + puts.len() + drops.len() > MAX_ENTRIES {
            return (400, Vec::new());
        }
        let sizes = puts
            .iter()
            .map(|it| (it.get("key").text(), base64_length(it.get("value").text())));
        let large: Vec<(String, usize)> = sizes
            .filter(|(_, size)| *size > ROW_BYTES)
            .map(|(key, size)| (key.to_owned(), size))
            .collect();
        if !large.is_empty() {
            state.refused.extend(large);
            return (400, Vec::new());
        }
        let holds = |it: &Json| state.rows.get(&key_of(it)).map_or(0, |(_, version)| *version) == it.get("formatVersion").int();
        if !expected.iter().all(holds) {
            let present = expected.iter().filter_map(|it| {
                let key = key_of(it);
                let (value, version) = state.rows.get(&key)?;
                Some(row(&key, Some(value), *version))
            });
            let rows = Json::List(present.collect());
            return (
                412,
                vec![
                    ("rows".to_owned(), rows),
                    ("formatVersion".to_owned(), Json::Int(state.version)),
                ],
            );
        }
        if !puts.is_empty() || !drops.is_empty() {
            state.version += 1;
        }
        for put in puts {
            state.apply(key_of(put), Some(put.get("value").text().to_owned()));
        }
        for drop in drops {
            state.apply(key_of(drop), None);
        }
        changed.notify_all();
        (200, vec![("formatVersion".to_owned(), Json::Int(state.version))])
    }

    fn get(&self, request: &Request) -> (u16, Vec<(String, Json)>) {
        let state = self.state.0.lock().unwrap();
        let (table, part) = (request.param("table"), request.param("part"));
        let (from, to) = (request.param("from"), request.param("to"));
        let limit = request.param("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let found = state.rows.range(first..);
        let found = found.take_while(|(key, _)| key.0 == table && key.1 == part && (to.is_empty() || key.2.as_str() < to));
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, version)) in found {
            if rows.len() >= limit || bytes + value.len() > MAX_BODY {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(row(key, Some(value), *version));
        }
        let fields = [
            ("rows", Json::List(rows)),
            ("hasMore", Json::Bool(more)),
            ("formatVersion", Json::Int(state.version)),
        ];
        (200, fields.map(|(name, value)| (name.to_owned(), value)).into())
    }

    fn parts(&self, request: &Request) -> (u16, Vec<(String, Json)>) {
        let state = self.state.0.lock().unwrap();
        let (table, after) = (request.param("table"), request.param("after"));
        let mut parts: Vec<String> = state
            .rows
            .keys()
            .filter(|key| key.0 == table && key.1.as_str() > after)
            .map(|key| key.1.clone())
            .collect();
        parts.dedup();
        parts.truncate(1_000);
        (
            200,
            vec![("parts".to_owned(), Json::List(parts.into_iter().map(Json::Text).collect()))],
        )
    }

    fn feed(&self, request: &Request) -> (u16, Vec<(String, Json)>) {
        let table = request.param("table");
        let after: i64 = request.param("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("waitMs").parse().unwrap_or(0)).min(Duration::from_secs(30));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(version, ..)| *version <= after);
            let mut rows = Vec::new();
            let (mut newest, mut last) = (state.version, 0);
            for (version, key, value) in &state.history[start..] {
                if key.0 != table {
                    continue;
                }
                // A page ends with all changes of a transaction.
                if rows.len() >= MAX_ROWS && *version > last {
                    newest = last;
                    break;
                }
                last = *version;
                rows.push(row(key, value.as_deref(), *version));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (
                    200,
                    vec![
                        ("rows".to_owned(), Json::List(rows)),
                        ("formatVersion".to_owned(), Json::Int(newest)),
                    ],
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn apply(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((version, key, value));
    }
}
