//! Parses and validates what callers send.

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

/// Maximum length of a name (id, team, service or key), in bytes.
const MAX_NAME: usize = 128;
/// Maximum time to the deadline of a quick request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;
/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 10_000;
/// Maximum declared run time of a task, in milliseconds (30 days).
const MAX_RUN_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// Body of a job submission.
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

/// Builds a quick request from its path, headers and body; refuses it with the name of the invalid
/// part.
pub(crate) fn request(id: &str, headers: &HeaderMap, body: &Bytes) -> Result<Request, Fault> {
    let id = parse_name("the id", id)?;
    let team = parse_name(header::TEAM, header_text(headers, header::TEAM)?)?;
    let service = parse_name(header::SERVICE, header_text(headers, header::SERVICE)?)?;
    let key = parse_name(header::KEY, header_text(headers, header::KEY)?)?;
    let idempotent = match header_text(headers, header::IDEMPOTENT)? {
        "true" => true,
        "false" => false,
        other => {
            return Err(bad_input(format!(
                "{}: true or false, not {other:?}",
                header::IDEMPOTENT
            )));
        }
    };
    let deadline = header_text(headers, header::DEADLINE)?;
    let budget_ms = deadline
        .parse()
        .ok()
        .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let budget_ms = budget_ms.ok_or_else(|| {
        bad_input(format!(
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

/// Builds a job from its path and JSON body; refuses it with the name of the invalid part.
pub(crate) fn job(team: &str, id: &str, body: &Bytes) -> Result<Job, Fault> {
    let raw: RawJob =
        serde_json::from_slice(body).map_err(|e| bad_input(format!("the job: {e}")))?;
    let size = Size::try_from(raw.size).map_err(|e| bad_input(format!("size: {e}")))?;
    if !(1..=MAX_TASKS).contains(&raw.tasks) {
        return Err(bad_input(format!(
            "tasks: 1 to {MAX_TASKS}, not {}",
            raw.tasks
        )));
    }
    let valid_run_ms = raw.shape == Shape::Service || (1..=MAX_RUN_MS).contains(&raw.run_ms);
    if !valid_run_ms {
        return Err(bad_input(format!(
            "run_ms: 1 to {MAX_RUN_MS}, not {}",
            raw.run_ms
        )));
    }
    Ok(Job {
        id: parse_name("the id", id)?,
        team: parse_name("the team", team)?,
        shape: raw.shape,
        tasks: raw.tasks,
        size,
        urgent: raw.urgent,
        run_ms: raw.run_ms,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, header: &str) -> Result<&'a str, Fault> {
    let value = headers
        .get(header)
        .ok_or_else(|| bad_input(format!("{header}: missing")))?;
    value
        .to_str()
        .map_err(|_| bad_input(format!("{header}: not plain text")))
}

/// Validates a name. Names become parts of row keys in the store, so they must not contain the
/// separator of keys, `/`.
fn parse_name(field: &str, name: &str) -> Result<String, Fault> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(allowed) {
        let rule = format!("1 to {MAX_NAME} letters, digits and any of - _ . :");
        return Err(bad_input(format!("{field}: {rule}, not {name:?}")));
    }
    Ok(name.to_owned())
}

fn bad_input(reason: String) -> Fault {
    Fault::new(Kind::BadInput, reason)
}
