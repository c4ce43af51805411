//! Settings of one router, read from a JSON file and checked before anything starts.

use dispatch::quotas::QuotaBounds;
use ids::{DomainId, VmId};
use quick_error::quick_error;
use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// An error in the settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsProblem {
        /// The text is not JSON, or a field is missing or has the wrong type.
        Field(path: String, why: String) {
            display("{path}: {why}")
        }
        /// A value is outside its valid range.
        Range(path: &'static str, why: &'static str) {
            display("{path}: {why}")
        }
    }
}

/// Settings of one router. Unknown fields are ignored, because the operator of the VM writes the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Id of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Listening address for clients.
    pub callers: SocketAddr,
    /// Listening address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listening address for other routers.
    pub peers: SocketAddr,
    /// Listening address for metrics; no metrics are served if absent.
    pub metrics: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Bandwidth of this VM's network link, Mbit/s; absent where all VMs have the same.
    pub link_mbps: Option<f64>,
    /// Whether the whole deployment starts for the first time; false at each later start.
    #[serde(default)]
    pub first_start: bool,
    /// Service level bounds that the site guarantees to its users.
    #[serde(default)]
    pub bounds: Bounds,
    /// Least severe level that is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Service level bounds that the site guarantees to its users. Fields ending in `_ms` are milliseconds, fields ending
/// in `_s` are seconds. Whole numbers may be given as fractions, which are rounded down to the stricter bound.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time after which every router rejects a revoked API key; no bound if absent.
    #[serde(deserialize_with = "whole_if_present")]
    pub revoke_ms: Option<u64>,
    /// Time after which requests start only on the newest weights.
    #[serde(deserialize_with = "whole")]
    pub weights_ms: u64,
    /// Minimum time between orders of two successive lease holders to one endpoint.
    #[serde(deserialize_with = "whole")]
    pub turn_ms: u64,
    /// Time between the stop signal and the forced end of the process.
    pub grace_s: f64,
    /// Attempts after the first one, as a fraction of requests, over all routers.
    pub retry_ratio: f64,
    /// Additional attempts per window beyond `retry_ratio`, over all routers.
    #[serde(deserialize_with = "whole")]
    pub retry_extra: u32,
    /// Length of the window for `retry_ratio` and `retry_extra`.
    pub retry_window_s: f64,
    /// Length of the window in which the use of a workspace's quota is counted.
    pub quota_window_s: f64,
    /// Permitted excess over a quota, as a fraction of what it allows in a window.
    pub quota_excess: f64,
    /// Permitted excess on top of `quota_excess`, in the unit of the quota.
    pub quota_slack: f64,
}

impl Default for Bounds {
    /// Conservative values for a site that states none.
    fn default() -> Self {
        Self {
            revoke_ms: None,
            weights_ms: 10_000,
            turn_ms: 3_000,
            grace_s: 8.0,
            retry_ratio: 0.1,
            retry_extra: 10,
            retry_window_s: 10.0,
            quota_window_s: 1.0,
            quota_excess: 0.0,
            quota_slack: 0.0,
        }
    }
}

impl Bounds {
    /// [`Self::revoke_ms`] as a duration.
    pub fn revoke(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }

    /// [`Self::weights_ms`] as a duration.
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }

    /// [`Self::turn_ms`] as a duration.
    pub fn turn(&self) -> Duration {
        Duration::from_millis(self.turn_ms)
    }

    /// [`Self::grace_s`] as a duration.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// [`Self::retry_window_s`] as a duration.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// Bounds on the use of quotas.
    pub fn quotas(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.quota_window_s),
            excess: self.quota_excess,
            slack: self.quota_slack,
        }
    }
}

/// Rounds a number down to a whole one.
fn whole<'de, D: Deserializer<'de>, T: TryFrom<u64>>(deserializer: D) -> Result<T, D::Error> {
    let number = f64::deserialize(deserializer)?;
    let valid = (0.0..u64::MAX as f64)
        .contains(&number)
        .then(|| T::try_from(number as u64).ok());
    let invalid = || D::Error::invalid_value(Unexpected::Float(number), &"a number that is not negative");
    valid.flatten().ok_or_else(invalid)
}

fn whole_if_present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    whole(deserializer).map(Some)
}

fn default_level() -> String {
    "info".to_owned()
}

/// Parses and validates settings.
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
    let not_negative = |value: f64| value.is_finite() && value >= 0.0;
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
            not_negative(bounds.retry_ratio),
            "bounds.retry_ratio",
            "must not be negative",
        ),
        (
            positive(bounds.quota_window_s),
            "bounds.quota_window_s",
            "must be above 0",
        ),
        (
            not_negative(bounds.quota_excess),
            "bounds.quota_excess",
            "must not be negative",
        ),
        (
            not_negative(bounds.quota_slack),
            "bounds.quota_slack",
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
