//! Logs as JSON lines on standard error.

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use snafu::{ResultExt as _, Whatever};

/// Sets up logging for the whole process.
///
/// # Errors
/// If the level has no such name, or logging was set up before.
pub fn init(level: &str) -> Result<(), Whatever> {
    let level: LevelFilter = level.parse().whatever_context("log: no such level")?;
    let lines = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(lines)))
        .logger(log4rs::config::Logger::builder().build("hyper", LevelFilter::Warn))
        .build(Root::builder().appender("lines").build(level))
        .whatever_context("log: the configuration is not accepted")?;
    log4rs::init_config(config).whatever_context("log: set up twice")?;
    Ok(())
}
