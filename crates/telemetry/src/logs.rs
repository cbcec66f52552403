//! Logs as JSON lines on standard output, without waiting for whoever reads them.

use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode as _;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use snafu::{ResultExt as _, Whatever};

/// Most bytes that wait to be written; what comes beyond is counted and dropped.
const WAITING_MOST: usize = 512 * 1024;
/// Lines are written together so often. Each write costs a system call and a wake-up.
const EVERY: Duration = Duration::from_millis(200);

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    lines: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

static WAITING: OnceLock<Waiting> = OnceLock::new();

#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let waiting = WAITING.get_or_init(Waiting::default);
        let mut lines = waiting.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() > WAITING_MOST {
            waiting.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.encoder.encode(&mut SimpleWriter(&mut *lines), record)
    }

    fn flush(&self) {
        flush();
    }
}

/// Writes all lines that wait.
pub fn flush() {
    let waiting = WAITING.get_or_init(Waiting::default);
    let lines = std::mem::take(&mut *waiting.lines.lock().unwrap_or_else(PoisonError::into_inner));
    let dropped = waiting.dropped.swap(0, Ordering::Relaxed);
    let mut out = std::io::stdout().lock();
    if !lines.is_empty() {
        drop(out.write_all(&lines));
    }
    if dropped > 0 {
        drop(writeln!(
            out,
            "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"count\":{dropped}}}"
        ));
    }
    drop(out.flush());
}

/// Sets up logging for the whole process. Lines are written by a thread of their own, so that a reader that doesn't read
/// holds up nothing but the log.
///
/// # Errors
/// If the level has no such name, or logging was set up before.
pub fn init(level: &str) -> Result<(), Whatever> {
    let level: LevelFilter = level.parse().whatever_context("log: no such level")?;
    let queue = Queue {
        encoder: JsonEncoder::new(),
    };
    let lines = Appender::builder().build("lines", Box::new(queue));
    let config = Config::builder()
        .appender(lines)
        .logger(log4rs::config::Logger::builder().build("hyper", LevelFilter::Warn))
        .build(Root::builder().appender("lines").build(level))
        .whatever_context("log: the configuration is not accepted")?;
    log4rs::init_config(config).whatever_context("log: set up twice")?;
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(|| {
            loop {
                std::thread::sleep(EVERY);
                flush();
            }
        })
        .whatever_context("log: no thread")?;
    Ok(())
}
