//! Parses settings and reports each error with its JSON path.

use super::Settings;
use derive_more::Display;
use std::net::SocketAddr;

/// Longer times are rejected as a mistake in the unit: one day, milliseconds.
const MAX_MS: u64 = 86_400_000;
/// Accepted log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// An error in the settings, with its location.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{path}: {kind}")]
pub struct SettingsProblem {
    /// JSON path, such as `limits.body_ms`.
    pub path: String,
    /// The kind of error.
    pub kind: SettingsProblemKind,
}

/// Kind of an error in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsProblemKind {
    /// Not JSON, an unknown or missing field, or a value of another type; the parser's message.
    #[display("{_0}")]
    Parse(String),
    /// A string that must not be empty.
    #[display("must not be empty")]
    Empty,
    /// A number that must be at least 1.
    #[display("must be at least 1")]
    Zero,
    /// More than a day.
    #[display("{_0} ms is more than a day; times are in milliseconds")]
    TooLong(u64),
    /// The address is used twice.
    #[display("is the same address as {_0}")]
    SameAddress(&'static str),
    /// A value that contradicts another one.
    #[display("must not be longer than {_0}")]
    LongerThan(&'static str),
    /// Not a log level.
    #[display("must be one of error, warn, info, debug, trace")]
    Level,
}

/// Parses and checks settings. Contradictions between fields are reported only if parsing succeeds.
///
/// # Errors
/// All errors, in the order of the fields.
pub fn read_settings(text: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|err| {
        let path = err.path().to_string();
        vec![problem(&path, SettingsProblemKind::Parse(err.into_inner().to_string()))]
    })?;
    reader
        .end()
        .map_err(|err| vec![problem(".", SettingsProblemKind::Parse(err.to_string()))])?;
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
    for (path, value, minimum) in times {
        if value < minimum {
            problems.push(problem(path, SettingsProblemKind::Zero));
        }
        if value > MAX_MS {
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
