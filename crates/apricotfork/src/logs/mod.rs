//! Logs by log4rs: of `serve` on standard error, of `gateway` in compact lines on standard output.

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

/// Time, level and text, for people; the keys of a line are in the JSON form only.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

quick_error! {
    /// Why logs cannot be set up.
    #[derive(Debug)]
    pub enum LogError {
        /// The logging configuration is refused.
        Config(err: ConfigErrors) {
            from()
            display("{err}")
        }
        /// The thread that writes lines cannot be started.
        Thread(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// Another logger is in place.
        Taken(err: log::SetLoggerError) {
            from()
            display("{err}")
        }
    }
}

/// Sets up logs for the process.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let encoder: Box<dyn Encode> = match settings.format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    // The settings' check knows the same levels.
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let appender = Appender::builder().build("console", Box::new(console));
    let root = Root::builder().appender("console").build(level);
    log4rs::init_config(Config::builder().appender(appender).logger(calls(level)).build(root)?)?;
    Ok(())
}

/// Sets up compact lines on standard output for the process.
pub fn start_lines(level: &str) -> Result<(), LogError> {
    // The settings' check knows the same levels.
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let appender = Appender::builder().build("lines", Box::new(Lines::start()?));
    let root = Root::builder().appender("lines").build(level);
    log4rs::init_config(Config::builder().appender(appender).logger(calls(level)).build(root)?)?;
    Ok(())
}

/// tarpc writes two or three lines for each call between routers. Those would be nine in ten of a quiet router's lines, and what is
/// kept of its log would reach back seconds instead of minutes.
fn calls(level: LevelFilter) -> Logger {
    Logger::builder().build("tarpc", level.min(LevelFilter::Warn))
}
