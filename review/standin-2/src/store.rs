//! The platform's metadata store, by PROTOCOL.md: rows, transactions, feeds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::http::{Request, Response};

/// Largest value of a row in bytes, before base64.
pub const ROW_BYTES: usize = 65_536;
/// The time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(3);

type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    /// In base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

struct Inner {
    rows: BTreeMap<Key, Row>,
    version: u64,
    /// Refuses all calls with 503.
    busy: bool,
    /// Number of transactions that were refused because a value was too large.
    too_large: u64,
    began: Instant,
}

#[derive(Clone)]
pub struct Store {
    inner: Rc<RefCell<Inner>>,
    changed: Rc<Notify>,
}

fn text(row: &Value, name: &str) -> String {
    row[name].as_str().unwrap_or("").to_owned()
}

fn key(row: &Value) -> Key {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

fn show((table, part, key): &Key, row: &Row) -> Value {
    let mut shown =
        json!({ "table": table, "part": part, "key": key, "formatVersion": row.version });
    match &row.value {
        Some(value) => shown["value"] = json!(value),
        None => shown["tombstone"] = json!(true),
    }
    shown
}

fn answer(status: u16, body: &Value) -> Response {
    Some((status, body.to_string().into_bytes()))
}

impl Store {
    pub fn new() -> Self {
        let inner = Inner {
            rows: BTreeMap::new(),
            version: 0,
            busy: false,
            too_large: 0,
            began: Instant::now(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
            changed: Rc::new(Notify::new()),
        }
    }

    pub fn set_busy(&self, busy: bool) {
        self.inner.borrow_mut().busy = busy;
    }

    /// Number of transactions that were refused because a value was too large.
    pub fn too_large(&self) -> u64 {
        self.inner.borrow().too_large
    }

    /// Writes a row as the operator or an executor does; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Value>) {
        let mut inner = self.inner.borrow_mut();
        inner.version += 1;
        let row = Row {
            value: value.map(|value| STANDARD.encode(value.to_string())),
            version: inner.version,
        };
        inner
            .rows
            .insert((table.to_owned(), String::new(), key.to_owned()), row);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// The decoded value of a row.
    pub fn value(&self, table: &str, part: &str, key: &str) -> Option<Value> {
        let inner = self.inner.borrow();
        let row = inner
            .rows
            .get(&(table.to_owned(), part.to_owned(), key.to_owned()))?;
        let bytes = STANDARD.decode(row.value.as_ref()?).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    fn stamp(&self, mut body: Value) -> Value {
        let inner = self.inner.borrow();
        body["formatVersion"] = json!(inner.version);
        body["nowMs"] = json!(inner.began.elapsed().as_millis() as u64);
        body
    }

    pub async fn handle(self, request: Request) -> Response {
        if self.inner.borrow().busy {
            return answer(503, &json!({}));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                tokio::time::sleep(TRANSACTION).await;
                self.transaction(&request.body)
            }
            ("GET", "/rows-get") => self.get(&request),
            ("GET", "/rows-feed") => self.feed(&request).await,
            ("GET", "/rows-parts") => {
                let table = request.query.get("table").cloned().unwrap_or_default();
                let inner = self.inner.borrow();
                let mut parts: Vec<&String> = inner
                    .rows
                    .iter()
                    .filter(|((of, _, _), row)| *of == table && row.value.is_some())
                    .map(|((_, part, _), _)| part)
                    .collect();
                parts.dedup();
                answer(200, &json!({ "parts": parts }))
            }
            _ => answer(404, &json!({})),
        }
    }

    fn transaction(&self, body: &[u8]) -> Response {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return answer(400, &json!({ "error": "unreadable" }));
        };
        let list = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let (expected, set, remove) = (list("expectedRev"), list("setKeys"), list("remove"));
        if expected.len() + set.len() + remove.len() > 100 || body.len() > 1_000_000 {
            return answer(400, &json!({ "error": "too large" }));
        }
        if set
            .iter()
            .chain(&remove)
            .any(|row| ["op", "servers"].contains(&text(row, "table").as_str()))
        {
            return answer(403, &json!({}));
        }
        let too_large = |row: &Value| {
            let value = STANDARD.decode(text(row, "value"));
            value.map_or(true, |value| value.len() > ROW_BYTES)
        };
        if set.iter().any(too_large) {
            self.inner.borrow_mut().too_large += 1;
            return answer(400, &json!({ "error": "a value is too large" }));
        }
        let mut inner = self.inner.borrow_mut();
        let found: Vec<(Key, Row)> = expected
            .iter()
            .map(|row| {
                let key = key(row);
                let row = inner
                    .rows
                    .get(&key)
                    .filter(|row| row.value.is_some())
                    .cloned();
                (
                    key,
                    row.unwrap_or(Row {
                        value: None,
                        version: 0,
                    }),
                )
            })
            .collect();
        let holds = found
            .iter()
            .zip(&expected)
            .all(|((_, row), expected)| Some(row.version) == expected["formatVersion"].as_u64());
        if !holds {
            drop(inner);
            let rows = found.iter().map(|(key, row)| {
                let mut shown = show(key, row);
                if row.value.is_none() {
                    shown["tombstone"] = json!(false);
                }
                shown
            });
            let rows: Vec<Value> = rows.collect();
            return answer(412, &self.stamp(json!({ "rows": rows })));
        }
        inner.version += 1;
        let version = inner.version;
        for row in &set {
            let value = Some(text(row, "value"));
            inner.rows.insert(key(row), Row { value, version });
        }
        for row in &remove {
            inner.rows.insert(
                key(row),
                Row {
                    value: None,
                    version,
                },
            );
        }
        drop(inner);
        self.changed.notify_waiters();
        answer(200, &self.stamp(json!({})))
    }

    fn get(&self, request: &Request) -> Response {
        let query = |name: &str| request.query.get(name).cloned();
        let (table, part) = (
            query("table").unwrap_or_default(),
            query("part").unwrap_or_default(),
        );
        let (from, to) = (query("from").unwrap_or_default(), query("to"));
        let limit = query("limit")
            .and_then(|it| it.parse().ok())
            .unwrap_or(500)
            .min(500);
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        {
            let inner = self.inner.borrow();
            let first = (table.clone(), part.clone(), from);
            for (key, row) in inner.rows.range(first..) {
                if key.0 != table || key.1 != part || to.as_ref().is_some_and(|to| key.2 >= *to) {
                    break;
                }
                let Some(value) = &row.value else { continue };
                if rows.len() >= limit || bytes + value.len() > 1_000_000 {
                    more = true;
                    break;
                }
                bytes += value.len();
                rows.push(show(key, row));
            }
        }
        answer(200, &self.stamp(json!({ "rows": rows, "hasMore": more })))
    }

    async fn feed(&self, request: &Request) -> Response {
        let table = request.query.get("table").cloned().unwrap_or_default();
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|it| it.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let mut rows: Vec<(u64, Value)> = {
                let inner = self.inner.borrow();
                let of_table = inner
                    .rows
                    .iter()
                    .filter(|(key, row)| key.0 == table && row.version > after);
                of_table
                    .map(|(key, row)| (row.version, show(key, row)))
                    .collect()
            };
            if !rows.is_empty() || tokio::time::Instant::now() >= until {
                rows.sort_by_key(|(version, _)| *version);
                let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
                return answer(200, &self.stamp(json!({ "rows": rows })));
            }
            if self.inner.borrow().busy {
                return answer(503, &json!({}));
            }
            drop(timeout_at(until, changed).await);
        }
    }
}
