//! Builds HTTP responses from answers.

use axum::Json;
use axum::http::header::RETRY_AFTER;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde_json::json;
use wire::{Answer, Class, Fault, State};

/// Response header with the class of the answer: done, refused, not run, or may have run.
const ANSWER: HeaderName = HeaderName::from_static("lentilyoke-answer");

/// Response to a quick request.
pub(crate) fn answer(answer: Answer) -> Response {
    match answer {
        Answer::Done(body) => (StatusCode::OK, headers(Class::Done), body.0).into_response(),
        Answer::Fault(fault) => self::fault(&fault),
    }
}

/// Response to a call about a job.
pub(crate) fn job(result: Result<State, Fault>) -> Response {
    match result {
        Ok(state) => (StatusCode::OK, headers(Class::Done), Json(state)).into_response(),
        Err(fault) => self::fault(&fault),
    }
}

/// Response for a fault: status and class by its kind, the reason as JSON, and `Retry-After` in
/// whole seconds, rounded up, if a retry makes sense.
pub(crate) fn fault(fault: &Fault) -> Response {
    let row = fault.kind.row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let after = fault.retry_after();
    let body = json!({
        "answer": row.class,
        "kind": fault.kind,
        "reason": fault.reason,
        "retry_after_ms": after.map(|a| a.as_millis() as u64),
    });
    let mut headers = headers(row.class);
    if let Some(after) = after {
        let seconds = after.as_millis().div_ceil(1_000).max(1) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    (status, headers, Json(body)).into_response()
}

fn headers(class: Class) -> HeaderMap {
    HeaderMap::from_iter([(ANSWER, HeaderValue::from_static(class.as_str()))])
}
