//! Reads settings and reports every error with its JSON path.

use super::Settings;
use derive_more::Display;
use std::net::SocketAddr;

/// Times above this are taken for a mistake in the unit: one day, milliseconds.
const LONGEST_MS: u64 = 86_400_000;
/// Accepted log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// What is wrong with the settings, and where.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{path}: {kind}")]
pub struct SettingsProblem {
    /// JSON path, such as `limits.body_ms`.
    pub path: String,
    /// What is wrong there.
    pub kind: SettingsProblemKind,
}

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsProblemKind {
    /// Not JSON, an unknown or missing field, or a value of another type; the library's explanation.
    #[display("{_0}")]
    Shape(String),
    /// A text that may not be empty.
    #[display("must not be empty")]
    Empty,
    /// A number that must be at least 1.
    #[display("must be at least 1")]
    Zero,
    /// More than a day.
    #[display("{_0} ms is more than a day; times are in milliseconds")]
    TooLong(u64),
    /// The same address twice.
    #[display("is the same address as {_0}")]
    SameAddress(&'static str),
    /// A value that contradicts another.
    #[display("must not be longer than {_0}")]
    LongerThan(&'static str),
    /// Not a log level.
    #[display("must be one of error, warn, info, debug, trace")]
    Level,
}

/// Reads and checks settings. Errors of shape hide contradictions, since nothing can be compared yet.
///
/// # Errors
/// Everything that is wrong, in the order of the fields.
pub fn read_settings(text: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|err| {
        let path = err.path().to_string();
        vec![problem(&path, SettingsProblemKind::Shape(err.into_inner().to_string()))]
    })?;
    reader
        .end()
        .map_err(|err| vec![problem(".", SettingsProblemKind::Shape(err.to_string()))])?;
    let problems = check(&settings);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

fn check(settings: &Settings) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    check_names(settings, &mut problems);
    check_addresses(settings, &mut problems);
    check_times(settings, &mut problems);
    check_sizes(settings, &mut problems);
    if !LEVELS.contains(&settings.log.level.as_str()) {
        problems.push(problem("log.level", SettingsProblemKind::Level));
    }
    problems
}

fn check_names(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    for (path, text) in [("vm", settings.vm.as_str()), ("domain", settings.domain.as_str())] {
        if text.trim().is_empty() {
            problems.push(problem(path, SettingsProblemKind::Empty));
        }
    }
    if settings.platform.addresses.is_empty() {
        problems.push(problem("platform.addresses", SettingsProblemKind::Empty));
    }
}

fn check_addresses(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if same(settings.operators, settings.callers) {
        problems.push(problem("operators", SettingsProblemKind::SameAddress("callers")));
    }
    if same(settings.peers, settings.callers) {
        problems.push(problem("peers", SettingsProblemKind::SameAddress("callers")));
    }
    if same(settings.peers, settings.operators) {
        problems.push(problem("peers", SettingsProblemKind::SameAddress("operators")));
    }
}

fn check_times(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let times = [
        ("platform.timeout_ms", settings.platform.timeout_ms, 1),
        ("platform.watch_ms", settings.platform.watch_ms, 1),
        ("limits.head_ms", settings.limits.head_ms, 1),
        ("limits.idle_ms", settings.limits.idle_ms, 1),
        ("limits.body_ms", settings.limits.body_ms, 1),
        ("limits.request_ms", settings.limits.request_ms, 1),
        ("shutdown.notice_ms", settings.shutdown.notice_ms, 0),
        ("shutdown.grace_ms", settings.shutdown.grace_ms, 1),
    ];
    for (path, value, least) in times {
        if value < least {
            problems.push(problem(path, SettingsProblemKind::Zero));
        }
        if value > LONGEST_MS {
            problems.push(problem(path, SettingsProblemKind::TooLong(value)));
        }
    }
    if settings.limits.body_ms > settings.limits.request_ms {
        problems.push(problem(
            "limits.body_ms",
            SettingsProblemKind::LongerThan("limits.request_ms"),
        ));
    }
    if settings.limits.request_ms > settings.shutdown.grace_ms {
        problems.push(problem(
            "limits.request_ms",
            SettingsProblemKind::LongerThan("shutdown.grace_ms"),
        ));
    }
}

fn check_sizes(settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    if settings.limits.body_bytes > settings.limits.held_bytes {
        problems.push(problem(
            "limits.body_bytes",
            SettingsProblemKind::LongerThan("limits.held_bytes"),
        ));
    }
    let sizes = [
        ("limits.connections", settings.limits.connections as u64),
        ("limits.body_bytes", settings.limits.body_bytes),
        ("limits.held_bytes", settings.limits.held_bytes),
        ("limits.answer_bytes", settings.limits.answer_bytes),
    ];
    for (path, value) in sizes {
        if value == 0 {
            problems.push(problem(path, SettingsProblemKind::Zero));
        }
    }
}

fn problem(path: &str, kind: SettingsProblemKind) -> SettingsProblem {
    SettingsProblem {
        path: path.to_owned(),
        kind,
    }
}
