//! Prometheus metrics.

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Bucket bounds of the first-token histogram, seconds; the target is 1.2 s for 95 in 100.
const FIRST_TOKEN_BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0, 10.0];

/// All metrics of a router.
pub struct Metrics {
    registry: Registry,
    /// Requests by kind (`completion`, `service`) and outcome (`ok`, or a refusal's code).
    pub requests: IntCounterVec,
    /// Refusals by whether the request ran.
    pub refusals: IntCounterVec,
    /// Time to first token, seconds.
    pub first_token: Histogram,
    /// Prompt tokens sent to engines.
    pub prompt_tokens: IntCounter,
    /// Prompt tokens found in engines' caches.
    pub cached_tokens: IntCounter,
    /// Placements by reason.
    pub placements: IntCounterVec,
    /// Attempts after the first, by reason.
    pub retries: IntCounterVec,
    /// Streams resumed after a connection failure.
    pub resumed: IntCounter,
    /// Clients that disconnected before their response was complete.
    pub clients_gone: IntCounter,
    /// Calls to the platform by outcome.
    pub platform: IntCounterVec,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Live routers of the failure domain.
    pub routers: IntGauge,
    /// Fencing number of this router's orders to engines, 0 if it does not hold the order lease.
    pub fence: IntGauge,
    /// Endpoints by availability.
    pub endpoints: prometheus::IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics at zero.
    ///
    /// # Panics
    /// If two metrics have the same name. Every start would show this.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("apricotfork".to_owned()), None).expect("a valid prefix");
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid counter");
            registry.register(Box::new(counter.clone())).expect("a name used once");
            counter
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("a valid counter");
            registry.register(Box::new(counter.clone())).expect("a name used once");
            counter
        };
        let bounds =
            HistogramOpts::new("first_token_seconds", "Time to first token").buckets(FIRST_TOKEN_BOUNDS.into());
        let first_token = Histogram::with_opts(bounds).expect("a valid histogram");
        registry
            .register(Box::new(first_token.clone()))
            .expect("a name used once");
        let revision = IntGauge::new("config_revision", "Configuration revision in force").expect("a valid gauge");
        registry.register(Box::new(revision.clone())).expect("a name used once");
        let routers = IntGauge::new("live_routers", "Live routers of the failure domain").expect("a valid gauge");
        registry.register(Box::new(routers.clone())).expect("a name used once");
        let fence =
            IntGauge::new("order_fence", "Fencing number of this router's orders, 0 without").expect("a valid gauge");
        registry.register(Box::new(fence.clone())).expect("a name used once");
        let endpoints = prometheus::IntGaugeVec::new(Opts::new("endpoints", "Endpoints by standing"), &["standing"])
            .expect("a valid gauge");
        registry
            .register(Box::new(endpoints.clone()))
            .expect("a name used once");
        Self {
            requests: counters("requests_total", "Requests by kind and outcome", &["kind", "outcome"]),
            refusals: counters("refusals_total", "Refusals by whether the request ran", &["ran"]),
            prompt_tokens: counter("prompt_tokens_total", "Prompt tokens sent to engines"),
            cached_tokens: counter("cached_tokens_total", "Prompt tokens found in engines' caches"),
            placements: counters("placements_total", "Placements by reason", &["reason"]),
            retries: counters("retries_total", "Attempts after the first", &["why"]),
            resumed: counter("streams_resumed_total", "Streams resumed after a break"),
            clients_gone: counter("callers_gone_total", "Callers that went away before the end"),
            platform: counters("platform_calls_total", "Calls to the platform by outcome", &["outcome"]),
            first_token,
            revision,
            fence,
            routers,
            endpoints,
            registry,
        }
    }

    /// Renders all metrics in the text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to a vector cannot fail; a metric that cannot be encoded is omitted.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
