//! Logs as JSON lines on standard output, bounded in volume. Logging never waits for the reader of standard output.

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

/// Maximum size of the buffer of unwritten lines; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Interval between writes of the buffered lines. Each write costs a system call and a wake-up.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of lines per call site and [`WINDOW`]. It admits a line for each start of a task at peak load,
/// and at this rate one call site costs half a percent of a core.
const MAX_LINES_PER_CALL_SITE: u32 = 300;
/// Window of the rate limit per call site.
const WINDOW: Duration = Duration::from_secs(1);

/// File and line of a log statement.
type CallSite = (&'static str, u32);

/// Lines of one call site in its current window.
#[derive(Debug)]
struct Count {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

/// Lines that are not written yet, and counts of those suppressed or dropped.
#[derive(Debug, Default)]
pub struct LogBuffer {
    unwritten: Vec<u8>,
    call_sites: HashMap<CallSite, Count>,
    dropped: u64,
}

impl LogBuffer {
    /// Whether another line of this call site may be written now. If lines were suppressed, the first line of the
    /// next window is preceded by a line with their number.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut buffer = telemetry::logs::LogBuffer::default();
    /// let now = Instant::now();
    /// let admitted = (0..1_000).filter(|_| buffer.admit(("main.rs", 1), now)).count();
    /// assert_eq!(admitted, 300);
    /// ```
    pub fn admit(&mut self, call_site: (&'static str, u32), now: Instant) -> bool {
        if self.unwritten.len() > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return false;
        }
        let count = self.call_sites.entry(call_site).or_insert(Count {
            window_start: now,
            written: 0,
            suppressed: 0,
        });
        if now.duration_since(count.window_start) >= WINDOW {
            let suppressed = std::mem::take(&mut count.suppressed);
            count.window_start = now;
            count.written = 0;
            if suppressed > 0 {
                let (file, line) = call_site;
                let text = format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines suppressed by the rate limit\",\"attributes\":{{\"file\":\"{file}\",\"line\":{line},\"count\":{suppressed}}}}}\n"
                );
                self.unwritten.extend_from_slice(text.as_bytes());
            }
        }
        if count.written >= MAX_LINES_PER_CALL_SITE {
            count.suppressed += 1;
            return false;
        }
        count.written += 1;
        true
    }

    /// Takes the unwritten lines, followed by a line with the number of lines dropped because the buffer was full.
    pub fn take(&mut self) -> Vec<u8> {
        let mut lines = std::mem::take(&mut self.unwritten);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            metrics::counter!("lentilyoke_log_lines_dropped_total").increment(dropped);
            let text = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped: standard output is not read fast enough\",\"attributes\":{{\"count\":{dropped}}}}}\n"
            );
            lines.extend_from_slice(text.as_bytes());
        }
        lines
    }
}

static BUFFER: OnceLock<Mutex<LogBuffer>> = OnceLock::new();

fn buffer() -> std::sync::MutexGuard<'static, LogBuffer> {
    let buffer = BUFFER.get_or_init(Mutex::default);
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug)]
struct BufferAppender {
    encoder: JsonEncoder,
}

impl Append for BufferAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let call_site = (
            record.file_static().unwrap_or(""),
            record.line().unwrap_or(0),
        );
        let mut buffer = buffer();
        if !buffer.admit(call_site, Instant::now()) {
            return Ok(());
        }
        self.encoder
            .encode(&mut SimpleWriter(&mut buffer.unwritten), record)
    }

    fn flush(&self) {
        flush();
    }
}

/// Writes all buffered lines to standard output.
pub fn flush() {
    let text = buffer().take();
    let mut out = std::io::stdout().lock();
    drop(out.write_all(&text));
    drop(out.flush());
}

/// Sets up logging for the whole process. A dedicated thread writes the lines, so that a stalled reader of
/// standard output blocks nothing but the log.
///
/// # Errors
/// If there is no level of this name, or logging is already set up.
pub fn init(level: &str) -> Result<(), Whatever> {
    let level: LevelFilter = level.parse().whatever_context("log: unknown level")?;
    let appender = BufferAppender {
        encoder: JsonEncoder::new(),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .logger(log4rs::config::Logger::builder().build("hyper", LevelFilter::Warn))
        .build(Root::builder().appender("lines").build(level))
        .whatever_context("log: invalid configuration of the logger")?;
    log4rs::init_config(config).whatever_context("log: a logger is already installed")?;
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(|| {
            loop {
                std::thread::sleep(FLUSH_INTERVAL);
                flush();
            }
        })
        .whatever_context("log: spawning the writer thread failed")?;
    Ok(())
}
