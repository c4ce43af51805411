//! Settings of one router, read from a JSON file and checked before anything starts.

mod checks;

use ids::{DomainId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

pub use checks::{SettingsProblem, read_settings};

/// Settings of one router. Times are whole milliseconds in fields that end in `_ms`, sizes are bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM's id, unique in the fleet.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators read metrics, health and status.
    pub operators: SocketAddr,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Routers to ask for a configuration while the platform is out of reach.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// The platform's key-value service.
    pub platform: PlatformSettings,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Another router, as found without the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it listens for routers.
    pub address: SocketAddr,
}

/// The platform's key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// Longest wait for one answer.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
    /// How long one watch waits for a change.
    #[serde(default = "default_watch")]
    pub watch_ms: u64,
}

/// Limits towards callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Connections open at once.
    pub connections: usize,
    /// Longest body, bytes.
    pub body_bytes: u64,
    /// Bodies of all requests in flight together, bytes.
    pub held_bytes: u64,
    /// Longest answer of an endpoint that is not streamed, bytes.
    pub answer_bytes: u64,
    /// Longest wait for a request's head.
    pub head_ms: u64,
    /// How long a connection that has served is kept without a next request. Longer than balancers and callers keep
    /// theirs: whoever closes second meets a call that is already on its way.
    pub idle_ms: u64,
    /// Longest wait for a request's body.
    pub body_ms: u64,
    /// Deadline of a request that states none, and the longest it may state.
    pub request_ms: u64,
}

/// Graceful shutdown: first unready but serving, then draining, then the end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// How long the router goes on accepting, so that the balancer sees that it is not ready.
    pub notice_ms: u64,
    /// Longest wait for requests in flight after that.
    pub grace_ms: u64,
}

/// How log lines look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Text,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4096,
            body_bytes: 2 << 20,
            held_bytes: 128 << 20,
            answer_bytes: 8 << 20,
            head_ms: 10_000,
            idle_ms: 75_000,
            body_ms: 10_000,
            request_ms: 60_000,
        }
    }
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            notice_ms: 3_000,
            grace_ms: 60_000,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Json,
            level: "info".to_owned(),
        }
    }
}

fn default_platform_timeout() -> u64 {
    2_000
}

fn default_watch() -> u64 {
    20_000
}

impl LimitSettings {
    /// Longest time a request may take.
    pub fn request(&self) -> Duration {
        Duration::from_millis(self.request_ms)
    }
}
