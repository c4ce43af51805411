//! Settings of one router, read from a JSON file and checked before anything starts.

use ids::{DomainId, VmId};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// An error in the settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsProblem {
        /// The text is no JSON, or a field has the wrong type.
        Field(path: String, why: String) {
            display("{path}: {why}")
        }
        /// A value is out of its range.
        Range(path: &'static str, why: &'static str) {
            display("{path}: {why}")
        }
    }
}

/// Settings of one router. Fields that it doesn't know are ignored: the file is made by whoever runs the VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// This VM's id.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether callers should be sent here.
    pub readiness: SocketAddr,
    /// Where other routers follow this one.
    pub peers: SocketAddr,
    /// Where counters are read.
    pub metrics: Option<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// This VM's link, Mbit/s; absent where all VMs are alike.
    pub link_mbps: Option<f64>,
    /// Bounds that the site promises its users.
    #[serde(default)]
    pub bounds: Bounds,
    /// Least urgent lines that are logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Bounds that the site promises its users. Times are milliseconds in fields that end in `_ms`, seconds in `_s`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// A key that was taken away is refused after this time, everywhere. Absent: no such bound.
    pub revoke_ms: Option<u64>,
    /// Requests begin on the newest weights after this time.
    pub weights_ms: u64,
    /// Holders of the right to give orders don't take turns within this time.
    pub turn_ms: u64,
    /// The process is killed this long after it was told to stop.
    pub grace_s: f64,
    /// Attempts beyond the first, as a share of requests, over all routers.
    pub retry_ratio: f64,
    /// Attempts beyond that share in one window, over all routers.
    pub retry_extra: u32,
    /// The window.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    /// Cautious values for a site that states none.
    fn default() -> Self {
        Self {
            revoke_ms: None,
            weights_ms: 10_000,
            turn_ms: 3_000,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_extra: 10,
            retry_window_s: 10.0,
        }
    }
}

impl Bounds {
    /// See the field.
    pub fn revoke(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }

    /// See the field.
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }

    /// See the field.
    pub fn turn(&self) -> Duration {
        Duration::from_millis(self.turn_ms)
    }

    /// See the field.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// See the field.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }
}

fn default_level() -> String {
    "info".to_owned()
}

/// Reads and checks settings.
///
/// # Errors
/// Every error that was found.
pub fn read_settings(text: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings: Settings = serde_path_to_error::deserialize(&mut reader).map_err(|err| {
        let path = err.path().to_string();
        vec![SettingsProblem::Field(path, err.into_inner().to_string())]
    })?;
    let problems = check(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(problems)
}

fn check(settings: &Settings) -> Vec<SettingsProblem> {
    let bounds = &settings.bounds;
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let checks = [
        (bounds.revoke_ms != Some(0), "bounds.revoke_ms", "must be above 0"),
        (bounds.weights_ms > 0, "bounds.weights_ms", "must be above 0"),
        (positive(bounds.grace_s), "bounds.grace_s", "must be above 0"),
        (
            positive(bounds.retry_window_s),
            "bounds.retry_window_s",
            "must be above 0",
        ),
        (
            bounds.retry_ratio.is_finite() && bounds.retry_ratio >= 0.0,
            "bounds.retry_ratio",
            "must not be negative",
        ),
        (
            settings.log_level.parse::<log::LevelFilter>().is_ok(),
            "log_level",
            "must be error, warn, info or debug",
        ),
    ];
    checks
        .into_iter()
        .filter(|(holds, _, _)| !holds)
        .map(|(_, path, why)| SettingsProblem::Range(path, why))
        .collect()
}
