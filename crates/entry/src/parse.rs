//! Checks what callers send.

use axum::body::Bytes;
use axum::http::HeaderMap;
use resource::{Raw, Size};
use serde::Deserialize;
use wire::{Body, Fault, Job, Kind, Request, Shape};

/// Names of the headers of a quick request.
pub(crate) mod header {
    pub(crate) const TEAM: &str = "lentilyoke-team";
    pub(crate) const SERVICE: &str = "lentilyoke-service";
    pub(crate) const KEY: &str = "lentilyoke-key";
    pub(crate) const IDEMPOTENT: &str = "lentilyoke-idempotent";
    pub(crate) const DEADLINE: &str = "lentilyoke-deadline-ms";
}

/// Longest name of a request, key or job.
const MAX_NAME: usize = 128;
/// Longest time to a deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Tasks of one job, at most.
const MAX_TASKS: u32 = 10_000;
/// Longest declared run of a task, in milliseconds (30 days).
const MAX_RUN_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// A job as callers write it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawJob {
    shape: Shape,
    tasks: u32,
    size: Raw,
    #[serde(default)]
    urgent: bool,
    #[serde(default)]
    run_ms: u64,
}

/// Checks a quick request.
pub(crate) fn request(id: &str, headers: &HeaderMap, body: &Bytes) -> Result<Request, Fault> {
    let id = name("the id", id)?;
    let team = name(header::TEAM, text(headers, header::TEAM)?)?;
    let service = name(header::SERVICE, text(headers, header::SERVICE)?)?;
    let key = name(header::KEY, text(headers, header::KEY)?)?;
    let idempotent = match text(headers, header::IDEMPOTENT)? {
        "true" => true,
        "false" => false,
        other => {
            return Err(bad(format!(
                "{}: true or false, not {other:?}",
                header::IDEMPOTENT
            )));
        }
    };
    let deadline = text(headers, header::DEADLINE)?;
    let budget_ms = deadline
        .parse()
        .ok()
        .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let budget_ms = budget_ms.ok_or_else(|| {
        bad(format!(
            "{}: 1 to {MAX_DEADLINE_MS}, not {deadline:?}",
            header::DEADLINE
        ))
    })?;
    if body.len() > Body::MAX {
        let reason = format!(
            "the body has {} bytes; at most {} are taken",
            body.len(),
            Body::MAX
        );
        return Err(Fault::new(Kind::TooLarge, reason));
    }
    let body = Body(body.to_vec());
    Ok(Request {
        id,
        team,
        service,
        key,
        idempotent,
        budget_ms,
        body,
    })
}

/// Checks a job.
pub(crate) fn job(team: &str, id: &str, body: &Bytes) -> Result<Job, Fault> {
    let raw: RawJob = serde_json::from_slice(body).map_err(|e| bad(format!("the job: {e}")))?;
    let size = Size::try_from(raw.size).map_err(|e| bad(format!("size: {e}")))?;
    if !(1..=MAX_TASKS).contains(&raw.tasks) {
        return Err(bad(format!("tasks: 1 to {MAX_TASKS}, not {}", raw.tasks)));
    }
    let runs = raw.shape == Shape::Service || (1..=MAX_RUN_MS).contains(&raw.run_ms);
    if !runs {
        return Err(bad(format!(
            "run_ms: 1 to {MAX_RUN_MS}, not {}",
            raw.run_ms
        )));
    }
    Ok(Job {
        id: name("the id", id)?,
        team: name("the team", team)?,
        shape: raw.shape,
        tasks: raw.tasks,
        size,
        urgent: raw.urgent,
        run_ms: raw.run_ms,
    })
}

fn text<'a>(headers: &'a HeaderMap, header: &str) -> Result<&'a str, Fault> {
    let value = headers
        .get(header)
        .ok_or_else(|| bad(format!("{header}: missing")))?;
    value
        .to_str()
        .map_err(|_| bad(format!("{header}: not plain text")))
}

/// Names become parts of keys in the platform's table, so they must not contain its separator.
fn name(place: &str, name: &str) -> Result<String, Fault> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(plain) {
        let rule = format!("1 to {MAX_NAME} letters, digits and any of - _ . :");
        return Err(bad(format!("{place}: {rule}, not {name:?}")));
    }
    Ok(name.to_owned())
}

fn bad(reason: String) -> Fault {
    Fault::new(Kind::BadInput, reason)
}
