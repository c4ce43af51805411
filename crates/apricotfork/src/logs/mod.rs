//! Logging with log4rs: `serve` logs to standard error, `gateway` writes compact lines to standard output.

mod lines;

use lines::Lines;
use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger, Root, runtime::ConfigErrors};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use quick_error::quick_error;
use router::{LogFormat, LogSettings};

/// Time, level and message. Only the JSON format has the key-value pairs.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

quick_error! {
    /// Why logs cannot be set up.
    #[derive(Debug)]
    pub enum LogError {
        /// The logging configuration is invalid.
        Config(err: ConfigErrors) {
            from()
            display("{err}")
        }
        /// The writer thread cannot be started.
        Thread(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// A logger is already set.
        AlreadySet(err: log::SetLoggerError) {
            from()
            display("{err}")
        }
    }
}

/// Sets up logging for the process.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    // The settings check rejects levels that do not parse.
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let appender = Appender::builder().build("console", Box::new(console));
    let root = Root::builder().appender("console").build(level);
    log4rs::init_config(
        Config::builder()
            .appender(appender)
            .logger(tarpc_logger(level))
            .build(root)?,
    )?;
    Ok(())
}

/// Sets up logging for the process, in compact lines on standard output.
pub fn start_lines(level: &str) -> Result<(), LogError> {
    // The settings check rejects levels that do not parse.
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let appender = Appender::builder().build("lines", Box::new(Lines::start()?));
    let root = Root::builder().appender("lines").build(level);
    log4rs::init_config(
        Config::builder()
            .appender(appender)
            .logger(tarpc_logger(level))
            .build(root)?,
    )?;
    Ok(())
}

/// Suppresses tarpc messages below `warn`. tarpc writes two or three lines for each call between routers, which would be
/// nine in ten lines of an idle router. The retained part of its log would then cover seconds instead of minutes.
fn tarpc_logger(level: LevelFilter) -> Logger {
    Logger::builder().build("tarpc", level.min(LevelFilter::Warn))
}
