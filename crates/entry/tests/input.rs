//! Invalid input is refused with the name of the invalid part, and nothing runs.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use cell::{Cell, Headers, call, headers, post_request};
use hyper::Method;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn without(name: &str) -> Headers {
    headers("k", true)
        .into_iter()
        .filter(|(n, _)| *n != name)
        .collect()
}

fn with(name: &'static str, value: &str) -> Headers {
    let mut headers = without(name);
    headers.push((name, value.to_owned()));
    headers
}

/// Each invalid header, name or body returns its status, class "refused", and names the invalid
/// part; the request does not run.
#[tokio::test]
async fn each_invalid_part_is_refused_by_name() {
    let cell = Cell::start().await;
    let large = "x".repeat(70_000);
    let cases: Vec<(Headers, &str, u16, &str)> = vec![
        (
            without("lentilyoke-team"),
            "x",
            400,
            "lentilyoke-team: missing",
        ),
        (
            without("lentilyoke-key"),
            "x",
            400,
            "lentilyoke-key: missing",
        ),
        (
            without("lentilyoke-idempotent"),
            "x",
            400,
            "lentilyoke-idempotent: missing",
        ),
        (
            with("lentilyoke-idempotent", "maybe"),
            "x",
            400,
            "true or false",
        ),
        (with("lentilyoke-deadline-ms", "0"), "x", 400, "1 to 60000"),
        (
            with("lentilyoke-deadline-ms", "soon"),
            "x",
            400,
            "1 to 60000",
        ),
        (with("lentilyoke-key", "a/b"), "x", 400, "letters, digits"),
        (with("lentilyoke-team", "strangers"), "x", 404, "strangers"),
        (with("lentilyoke-service", "nothing"), "x", 404, "nothing"),
        (headers("k", true), &large, 413, "65536 bytes"),
    ];
    for (n, (headers, body, status, reason)) in cases.into_iter().enumerate() {
        let got = post_request(cell.address, &format!("bad-{n}"), &headers, body).await;
        assert_eq!(got.status, status, "{got:?}");
        assert_eq!(got.answer, "refused", "{got:?}");
        assert!(got.body.contains(reason), "{got:?}");
        assert_eq!(got.retry_after, None);
        assert_eq!(cell.run_count(&format!("bad-{n}")), 0);
    }
    cell.end().await;
}

/// A request without an id and a path that does not exist return class "refused".
#[tokio::test]
async fn a_missing_id_and_an_unknown_path_are_refused() {
    let cell = Cell::start().await;
    let got = call(
        cell.address,
        Method::POST,
        "/v1/requests",
        &headers("k", true),
        "x",
    )
    .await;
    assert_eq!((got.status, got.answer.as_str()), (400, "refused"));
    assert!(got.body.contains("the id: missing"), "{got:?}");
    let got = call(cell.address, Method::GET, "/v2/anything", &Vec::new(), "").await;
    assert_eq!((got.status, got.answer.as_str()), (400, "refused"));
    cell.end().await;
}

/// A job that is malformed or fits no worker returns class "refused" with the reason.
#[tokio::test]
async fn bad_jobs_are_refused() {
    let cell = Cell::start().await;
    let size = r#""size": {"cores": 1, "memory_mib": 64}"#;
    let cases = [
        ("not json", 400, "the job"),
        (r#"{"shape": "batch"}"#, 400, "missing field"),
        (r#"{"shape": "heap", "tasks": 1}"#, 400, "unknown variant"),
        (
            &format!(r#"{{"shape": "batch", "tasks": 0, "run_ms": 5, {size}}}"#),
            400,
            "tasks",
        ),
        (
            &format!(r#"{{"shape": "batch", "tasks": 1, {size}}}"#),
            400,
            "run_ms",
        ),
        (
            r#"{"shape": "batch", "tasks": 1, "run_ms": 5, "size": {"cores": -1}}"#,
            400,
            "cores must lie between",
        ),
        (
            r#"{"shape": "batch", "tasks": 1, "run_ms": 5, "size": {"cores": 17}}"#,
            422,
            "larger than any worker",
        ),
    ];
    for (body, status, reason) in cases {
        let got = call(
            cell.address,
            Method::PUT,
            "/v1/jobs/officers/j",
            &Vec::new(),
            body,
        )
        .await;
        assert_eq!(
            (got.status, got.answer.as_str()),
            (status, "refused"),
            "{got:?}"
        );
        assert!(got.body.contains(reason), "{got:?}");
    }
    let got = call(
        cell.address,
        Method::GET,
        "/v1/jobs/officers/j",
        &Vec::new(),
        "",
    )
    .await;
    assert_eq!((got.status, got.answer.as_str()), (404, "refused"));
    let got = call(
        cell.address,
        Method::GET,
        "/v1/jobs/strangers/j",
        &Vec::new(),
        "",
    )
    .await;
    assert_eq!((got.status, got.answer.as_str()), (404, "refused"));
    cell.end().await;
}

/// Guards against running a truncated body: the connection closes before the declared content
/// length. The caller gets a closed connection or a refusal, and nothing runs.
#[tokio::test]
async fn a_truncated_body_does_not_run() {
    let cell = Cell::start().await;
    let mut stream = TcpStream::connect(cell.address).await.unwrap();
    let mut head =
        "POST /v1/requests/half HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n".to_owned();
    for (name, value) in headers("k", false) {
        head += &format!("{name}: {value}\r\n");
    }
    stream
        .write_all(format!("{head}\r\nwork_ms=1").as_bytes())
        .await
        .unwrap();
    stream.shutdown().await.unwrap();
    let mut reply = String::new();
    drop(stream.read_to_string(&mut reply).await);
    assert!(!reply.contains("200 OK"), "{reply}");
    assert_eq!(cell.run_count("half"), 0);
    cell.end().await;
}

/// A submitted batch job is watched until it finishes; a service job is cancelled.
#[tokio::test]
async fn a_job_is_submitted_watched_and_cancelled() {
    let cell = Cell::start().await;
    let batch = r#"{"shape": "batch", "tasks": 3, "run_ms": 50,
                    "size": {"cores": 1, "memory_mib": 64}}"#;
    let path = "/v1/jobs/officers/report";
    let got = call(cell.address, Method::PUT, path, &Vec::new(), batch).await;
    assert_eq!((got.status, got.answer.as_str()), (200, "done"), "{got:?}");
    let watched = format!("{path}?wait_ms=20000");
    let got = call(cell.address, Method::GET, &watched, &Vec::new(), "").await;
    assert!(got.body.contains(r#""phase":"finished""#), "{got:?}");
    let service = r#"{"shape": "service", "tasks": 2, "size": {"cores": 1, "memory_mib": 64}}"#;
    let path = "/v1/jobs/officers/watch";
    call(cell.address, Method::PUT, path, &Vec::new(), service).await;
    let got = call(cell.address, Method::DELETE, path, &Vec::new(), "").await;
    assert!(got.body.contains(r#""phase":"cancelled""#), "{got:?}");
    cell.end().await;
}
