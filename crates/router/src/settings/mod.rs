//! Settings of one router, parsed from a JSON file and checked before the router starts.

mod checks;

use ids::{DomainId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

pub use checks::{SettingsProblem, read_settings};

/// Settings of one router. Fields that end in `_ms` are integer milliseconds, sizes are bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM's id, unique in the fleet.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Listen address for clients.
    pub callers: SocketAddr,
    /// Listen address for metrics, health and status.
    pub operators: SocketAddr,
    /// Listen address for other routers.
    pub peers: SocketAddr,
    /// Routers that provide a configuration while the platform is unreachable.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// The platform's key-value service.
    pub platform: PlatformSettings,
    /// Limits on clients.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Another router with a fixed address, used without the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its listen address for other routers.
    pub address: SocketAddr,
}

/// The platform's key-value service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its addresses, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one request.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
    /// How long a watch waits for a change.
    #[serde(default = "default_watch")]
    pub watch_ms: u64,
}

/// Limits on clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request body, bytes.
    pub body_bytes: u64,
    /// Maximum total size of the bodies of all requests in flight, bytes.
    pub held_bytes: u64,
    /// Maximum size of an endpoint's response that is not streamed, bytes.
    pub answer_bytes: u64,
    /// Timeout for reading a request head.
    pub head_ms: u64,
    /// How long an idle connection is kept open. Longer than the idle timeouts of balancers and clients, so that they
    /// close first: otherwise a new request may arrive on a connection that the router is closing.
    pub idle_ms: u64,
    /// Timeout for reading a request body.
    pub body_ms: u64,
    /// Default and maximum deadline of a request.
    pub request_ms: u64,
}

/// Graceful shutdown: the router first reports that it is not ready but still serves, then drains, then exits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// How long the router still accepts requests while it reports that it is not ready, so that the balancer
    /// notices.
    pub notice_ms: u64,
    /// Timeout for requests in flight after that.
    pub grace_ms: u64,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// Logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of log lines.
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
    /// Maximum duration of a request.
    pub fn request(&self) -> Duration {
        Duration::from_millis(self.request_ms)
    }
}
