//! Counters, gauges and histograms in the Prometheus format.

use dispatch::fleet::Fleet;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Bucket bounds of the time to first byte, seconds. They are dense around the objectives of routes, which lie between
/// 0.1 and 1.2 s.
const FIRST_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 2.0, 5.0];

/// All metrics of a router.
pub struct Metrics {
    registry: Registry,
    /// Requests by route and outcome (status, or the reason for the end).
    pub requests: IntCounterVec,
    /// Failed attempts by kind of failure.
    pub attempts: IntCounterVec,
    /// Attempts whose connection broke, by whether the endpoint has ended.
    pub broken: IntCounterVec,
    /// Ends of endpoints' streams by framing, and whether they lie inside an event.
    pub stream_ends: IntCounterVec,
    /// Attempts that brought an event whose number does not follow, by kind and place in the stream.
    pub disorders: IntCounterVec,
    /// Streams that clients continue, by what shows their origin.
    pub continued: IntCounterVec,
    /// Responses that ended with their connection, by whether the endpoint confirmed the end.
    pub unframed_ends: IntCounterVec,
    /// Seconds until the first byte of the response was sent to the client, by route.
    pub first: HistogramVec,
    /// Calls to the store by kind and outcome.
    pub store: IntCounterVec,
    /// Received bytes of responses that were abandoned before they were complete, by sender (the store or a router).
    pub given_up: IntCounterVec,
    /// Exchanges of news with other routers by call and outcome.
    pub news: IntCounterVec,
    /// Requests refused because the quota of their workspace is used up, by workspace. Workspaces come from the
    /// document, so their number is bounded.
    pub over_quota: IntCounterVec,
    /// Those of them on patient routes.
    pub over_quota_patient: IntCounterVec,
    /// Requests refused because of overload, on services with a patient route, by service, route and reason.
    pub overload_refused: IntCounterVec,
    /// Patient requests that waited in the router for an engine, by service and how the wait ended.
    pub patient_waits: IntCounterVec,
    /// Patient requests that wait in the router for an engine.
    pub patient_waiting: IntGauge,
    /// Orders to endpoints by outcome.
    pub orders: IntCounterVec,
    /// Connections opened to endpoints.
    pub connections: IntCounterVec,
    /// Requests for tunnels by role of this router and outcome.
    pub tunnels: IntCounterVec,
    /// Tunnels that this router carries for others.
    pub tunnels_carried: IntGauge,
    /// Endpoints that are reached through other routers.
    pub paths_lost: IntGauge,
    /// Revision of the document in force.
    pub revision: IntGauge,
    /// Age of the newest confirmation of the document, milliseconds.
    pub age: IntGauge,
    /// Endpoints in service.
    pub endpoints: IntGauge,
    /// Endpoints to which this router's last connection failed.
    pub unreachable: IntGauge,
    /// Endpoints in service whose entries are missing from the store.
    pub missing: IntGauge,
    /// How often the store was restored from a backup.
    pub restored: IntCounter,
    /// Endpoints that currently limit their request rate.
    pub rated: IntGauge,
    /// Endpoints that want no requests from this router.
    pub resting: IntGauge,
    /// Endpoints that fall over if they have to reject too many requests.
    pub brittle: IntGauge,
    /// Endpoints that are so much slower than their service's median that fewer prefixes are assigned to them.
    pub slow: IntGauge,
    /// Samples of the speeds of endpoints by kind of work.
    pub speed_samples: IntCounterVec,
    /// Requests that are kept from endpoints, because others have ended under them.
    pub quarantined: IntGauge,
    /// Parts of prompts that are kept from endpoints, because others have ended under them.
    pub parts_held: IntGauge,
    /// Client connections that were closed unread, because this router had too much work.
    pub clients_refused: IntCounter,
    /// Responses of endpoints that exceeded a bound, by bound.
    pub overlong: IntCounterVec,
    /// Bytes of responses held for slow readers.
    pub held_bytes: IntGauge,
    /// Connections closed for room in the budget of held bytes, by what was held.
    pub held_closed: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Engines in the decode lane of each service with a large pool. Services come from the document, so their number is
    /// bounded.
    pub decode_lane: IntGaugeVec,
    /// Long answers that all routers have in flight, by service.
    pub answers: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics at zero.
    ///
    /// # Panics
    /// If two metrics have the same name. Every start of the process would show this.
    pub fn new() -> Self {
        let registry = Registry::new_custom(Some("apricotfork".to_owned()), None).expect("a valid prefix");
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid counter");
            registry.register(Box::new(counter.clone())).expect("a unique name");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("a valid gauge");
            registry.register(Box::new(gauge.clone())).expect("a unique name");
            gauge
        };
        let service_gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["service"]).expect("a valid gauge");
            registry.register(Box::new(gauges.clone())).expect("a unique name");
            gauges
        };
        let restored = IntCounter::new("store_restored_total", "Times that the store came back from a copy");
        let restored = restored.expect("a valid counter");
        registry.register(Box::new(restored.clone())).expect("a unique name");
        let clients_refused = IntCounter::new(
            "client_connections_refused_total",
            "Client connections closed unread, because this router had too much work",
        );
        let clients_refused = clients_refused.expect("a valid counter");
        registry
            .register(Box::new(clients_refused.clone()))
            .expect("a unique name");
        let options = HistogramOpts::new("first_byte_seconds", "Time until the answer's first byte, by route");
        let first = HistogramVec::new(options.buckets(FIRST_BOUNDS.into()), &["route"]).expect("a valid histogram");
        registry.register(Box::new(first.clone())).expect("a unique name");
        Self {
            requests: counters("requests_total", "Requests by route and outcome", &["route", "outcome"]),
            attempts: counters("attempts_failed_total", "Failed attempts by how", &["failure"]),
            broken: counters(
                "attempts_broken_total",
                "Attempts whose connection broke, by whether the endpoint has ended",
                &["fate"],
            ),
            stream_ends: counters(
                "stream_ends_total",
                "Ends of endpoints' streams by framing, and whether they lie inside an event",
                &["framing", "at"],
            ),
            disorders: counters(
                "stream_disorders_total",
                "Attempts that brought an event whose number does not follow, by kind and place in the stream",
                &["kind", "place"],
            ),
            continued: counters(
                "streams_continued_total",
                "Streams that clients continue, by what shows the version of their origin",
                &["shown_by"],
            ),
            unframed_ends: counters(
                "unframed_ends_total",
                "Responses that ended with their connection, by whether the endpoint confirmed the end",
                &["outcome"],
            ),
            store: counters(
                "store_calls_total",
                "Calls to the store by kind and outcome",
                &["call", "outcome"],
            ),
            given_up: counters(
                "given_up_bytes_total",
                "Bytes that had arrived of answers that were given up, by sender",
                &["sender"],
            ),
            news: counters(
                "news_calls_total",
                "Exchanges of news with other routers by call and outcome",
                &["call", "outcome"],
            ),
            over_quota: counters(
                "over_quota_total",
                "Requests refused over the quota of their workspace",
                &["workspace"],
            ),
            over_quota_patient: counters(
                "over_quota_patient_total",
                "Requests on patient routes refused over the quota of their workspace",
                &["workspace"],
            ),
            overload_refused: counters(
                "overload_refused_total",
                "Requests refused because of overload, by service, route and reason",
                &["service", "route", "reason"],
            ),
            patient_waits: counters(
                "patient_waits_total",
                "Patient requests that waited in the router, by service and end of the wait",
                &["service", "end"],
            ),
            patient_waiting: gauge("patient_waiting", "Patient requests that wait in the router"),
            orders: counters("orders_total", "Orders to endpoints by outcome", &["outcome"]),
            connections: counters("connections_total", "Connections to endpoints by outcome", &["outcome"]),
            tunnels: counters(
                "tunnels_total",
                "Requests for tunnels by role of this router and outcome",
                &["role", "outcome"],
            ),
            tunnels_carried: gauge("tunnels_carried", "Tunnels that this router carries for others"),
            paths_lost: gauge("paths_lost", "Endpoints that are reached through other routers"),
            revision: gauge("config_revision", "Revision of the document in force"),
            age: gauge("config_age_ms", "Age of the newest confirmation of the document"),
            endpoints: gauge("endpoints", "Endpoints in service"),
            unreachable: gauge("endpoints_unreachable", "Endpoints to which the last connection failed"),
            missing: gauge("endpoints_missing", "Endpoints in service whose entries are missing"),
            restored,
            clients_refused,
            rated: gauge(
                "endpoints_rated",
                "Endpoints that name the requests a second that they take",
            ),
            resting: gauge("endpoints_resting", "Endpoints that want no requests from this router"),
            brittle: gauge(
                "endpoints_brittle",
                "Endpoints that fall over if they have to reject too many requests",
            ),
            slow: gauge(
                "endpoints_slow",
                "Endpoints slower than others of their service, with a lower share of prefixes",
            ),
            speed_samples: counters(
                "speed_samples_total",
                "Samples of the speeds of endpoints by kind of work",
                &["work"],
            ),
            parts_held: gauge(
                "prompt_parts_held",
                "Parts of prompts that are kept from endpoints, because others have ended under them",
            ),
            quarantined: gauge(
                "requests_quarantined",
                "Requests that are kept from endpoints, because others have ended under them",
            ),
            overlong: counters(
                "responses_overlong_total",
                "Responses of endpoints that exceeded a bound, by bound",
                &["bound"],
            ),
            held_bytes: gauge("held_bytes", "Bytes of responses held for slow readers"),
            held_closed: counters(
                "held_closed_total",
                "Connections closed for room in the budget of held bytes, by what was held",
                &["held"],
            ),
            in_flight: gauge("requests_in_flight", "Requests in flight"),
            decode_lane: service_gauges("decode_lane_engines", "Engines in the decode lane, by service"),
            answers: service_gauges(
                "long_answers_in_flight",
                "Long answers that all routers have in flight, as known here, by service",
            ),
            first,
            registry,
        }
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, call: &str, done: bool) {
        let outcome = if done { "ok" } else { "failed" };
        self.store.with_label_values(&[call, outcome]).inc();
    }

    /// Sets the gauges of endpoints whose state changes with time. Returns the number of unreachable ones.
    pub fn set_endpoint_states(&self, fleet: &Fleet, now: Duration) -> usize {
        let unreachable = fleet.unreachable_count();
        self.unreachable.set(unreachable as i64);
        self.resting.set(fleet.resting_count(now) as i64);
        self.slow.set(fleet.slow_count() as i64);
        unreachable
    }

    /// Sets the gauges of endpoints with limits.
    pub fn set_endpoint_limits(&self, fleet: &Fleet) {
        self.rated.set(fleet.rate_limited_count() as i64);
        self.brittle.set(fleet.brittle_count() as i64);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {err}");
        }
        text
    }
}
