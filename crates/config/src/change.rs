//! The difference between two configurations, as printed for operators.

use std::fmt;

use serde_json::Value;

use crate::raw;

/// One changed value.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Path of the value, such as `teams.harvest.quota.cores`.
    pub path: String,
    /// Old value; `None` if the path is new.
    pub old: Option<Value>,
    /// New value; `None` if the path was removed.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "+ {} = {new}", self.path),
            (Some(old), None) => write!(f, "- {} = {old}", self.path),
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, None) => Ok(()),
        }
    }
}

/// Lists every value in which two configurations differ.
///
/// ```
/// use config::{Builder, diff};
///
/// let old = Builder::new("small").rack("north", "north-1", "n1");
/// let new = old.clone().rack("north", "north-1", "n2");
/// let changes = diff(&old.into_raw(), &new.into_raw());
/// assert_eq!(changes[0].to_string(), "+ regions.north.data_centres.north-1.racks.n2 = \"n2\"");
/// ```
#[must_use]
pub fn diff(old: &raw::Cell, new: &raw::Cell) -> Vec<Change> {
    let mut changes = Vec::new();
    let tree = |cell| serde_json::to_value(cell).unwrap_or_default();
    walk("", Some(&tree(old)), Some(&tree(new)), &mut changes);
    changes
}

fn walk(path: &str, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (Some(old_children), Some(new_children)) = (old.and_then(children), new.and_then(children))
    else {
        let change = Change {
            path: path.to_owned(),
            old: old.cloned(),
            new: new.cloned(),
        };
        changes.push(change);
        return;
    };
    let mut names: Vec<&String> = old_children
        .iter()
        .chain(&new_children)
        .map(|(name, _)| name)
        .collect();
    names.sort();
    names.dedup();
    for name in names {
        let find = |entries: &[(String, Value)]| {
            entries
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value.clone())
        };
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        walk(
            &path,
            find(&old_children).as_ref(),
            find(&new_children).as_ref(),
            changes,
        );
    }
}

/// The children of an object, or of a list whose elements have names; `None` for other values.
fn children(value: &Value) -> Option<Vec<(String, Value)>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(k, v)| (k.clone(), v.clone())).collect()),
        Value::Array(list) => Some(list.iter().filter_map(named).collect()),
        _ => None,
    }
}

fn named(value: &Value) -> Option<(String, Value)> {
    match value {
        Value::String(name) => Some((name.clone(), value.clone())),
        other => Some((other.get("name")?.as_str()?.to_owned(), value.clone())),
    }
}
