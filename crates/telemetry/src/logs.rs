//! Logs as JSON lines on standard output, without waiting for whoever reads them, and bounded in volume.

use std::collections::HashMap;
use std::io::Write as _;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode as _;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use snafu::{ResultExt as _, Whatever};

/// Most bytes that wait to be written; what comes beyond is counted and left out.
const WAITING_MOST: usize = 512 * 1024;
/// Lines are written together so often. Each write costs a system call and a wake-up.
const EVERY: Duration = Duration::from_millis(200);
/// Most lines of one kind in a second: the starts of today's rushes, and half of a percent of a core. A kind is a place in
/// the code.
const KIND_MOST: u32 = 300;
/// The time over which lines of a kind are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A place in the code that logs.
type Kind = (&'static str, u32);

/// Lines of one kind in the present window.
#[derive(Debug)]
struct Count {
    since: Instant,
    written: u32,
    left_out: u64,
}

/// Lines that wait to be written, and what was left out.
#[derive(Debug, Default)]
pub struct Lines {
    waiting: Vec<u8>,
    kinds: HashMap<Kind, Count>,
    dropped: u64,
}

impl Lines {
    /// Whether another line of this kind may be written now. The first line of a new window that follows lines left out
    /// is preceded by one that tells how many.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut lines = telemetry::logs::Lines::default();
    /// let now = Instant::now();
    /// let taken = (0..1_000).filter(|_| lines.admit(("here", 1), now)).count();
    /// assert_eq!(taken, 300);
    /// ```
    pub fn admit(&mut self, kind: (&'static str, u32), now: Instant) -> bool {
        if self.waiting.len() > WAITING_MOST {
            self.dropped += 1;
            return false;
        }
        let count = self.kinds.entry(kind).or_insert(Count {
            since: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(count.since) >= WINDOW {
            let left_out = std::mem::take(&mut count.left_out);
            count.since = now;
            count.written = 0;
            if left_out > 0 {
                let (file, line) = kind;
                let text = format!(
                    "{{\"level\":\"WARN\",\"message\":\"lines left out\",\"attributes\":{{\"file\":\"{file}\",\"line\":{line},\"count\":{left_out}}}}}\n"
                );
                self.waiting.extend_from_slice(text.as_bytes());
            }
        }
        if count.written >= KIND_MOST {
            count.left_out += 1;
            return false;
        }
        count.written += 1;
        true
    }

    /// Takes what is to be written, with a line on what was dropped for want of room.
    pub fn take(&mut self) -> Vec<u8> {
        let mut lines = std::mem::take(&mut self.waiting);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            metrics::counter!("lentilyoke_log_lines_dropped_total").increment(dropped);
            let text = format!(
                "{{\"level\":\"WARN\",\"message\":\"lines dropped: nobody reads them\",\"attributes\":{{\"count\":{dropped}}}}}\n"
            );
            lines.extend_from_slice(text.as_bytes());
        }
        lines
    }
}

static LINES: OnceLock<Mutex<Lines>> = OnceLock::new();

fn lines() -> std::sync::MutexGuard<'static, Lines> {
    let lines = LINES.get_or_init(Mutex::default);
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug)]
struct Queue {
    encoder: JsonEncoder,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let kind = (
            record.file_static().unwrap_or(""),
            record.line().unwrap_or(0),
        );
        let mut lines = lines();
        if !lines.admit(kind, Instant::now()) {
            return Ok(());
        }
        self.encoder
            .encode(&mut SimpleWriter(&mut lines.waiting), record)
    }

    fn flush(&self) {
        flush();
    }
}

/// Writes all lines that wait.
pub fn flush() {
    let text = lines().take();
    let mut out = std::io::stdout().lock();
    drop(out.write_all(&text));
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
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(queue)))
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
