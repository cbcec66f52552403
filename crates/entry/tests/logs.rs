//! Log lines about calls that get no response.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cell;

use std::sync::Mutex;
use std::time::Duration;

use cell::Cell;
use cell::connection::{Call, Connection};
use log::kv::Key;
use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::sleep;

/// Paths of the calls that were logged as calls without a response.
struct CutCalls(Mutex<Vec<String>>);

static CUT_CALLS: CutCalls = CutCalls(Mutex::new(Vec::new()));

impl Log for CutCalls {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string() == "connection ended without a response to a call" {
            let path = record.key_values().get(Key::from("path")).unwrap();
            self.0.lock().unwrap().push(path.to_string());
        }
    }

    fn flush(&self) {}
}

/// Guards against calls that end without a response and without a trace in the log.
#[tokio::test]
async fn a_call_without_a_response_is_logged() {
    log::set_logger(&CUT_CALLS).unwrap();
    log::set_max_level(LevelFilter::Info);
    let cell = Cell::start().await;
    let mut connection = Connection::open(cell.address).await.unwrap();
    let call = Call::quick_request("a", false, "work_ms=500");
    let call = tokio::spawn(async move { connection.call(&call).await });
    while cell.run_count("a") == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    call.abort();
    tokio::time::timeout(Duration::from_secs(10), async {
        while CUT_CALLS.0.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the call is logged");
    assert_eq!(*CUT_CALLS.0.lock().unwrap(), ["/v1/requests/a"]);
    cell.end().await;
}
