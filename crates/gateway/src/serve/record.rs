//! The log line and the metrics of a request.

use crate::shared::Shared;
use dispatch::fleet::Staleness;
use ids::{EndpointId, Revision, WorkspaceId};
use std::fmt::{Display, Write};
use std::time::Duration;

/// Most attempts whose events stand in a log line.
const MAX_LISTED: usize = 8;

/// Data collected about a request.
pub struct Record {
    /// The client's id of the request.
    pub id: String,
    /// Name of its route.
    pub route: String,
    /// Its workspace.
    pub workspace: Option<WorkspaceId>,
    /// Revision of the document that was used to route it.
    pub revision: Revision,
    /// Time since that document was last confirmed to be current.
    pub age: Option<Duration>,
    /// Weights that the last attempt named, and how long they had been outdated when it was sent.
    pub weights: Option<(u64, Staleness)>,
    /// Id of the attempt that began the stream which the request continues; empty if it begins one.
    pub resumes: String,
    /// Number of the last event that the client names as received.
    pub last_event: Option<u64>,
    /// Version of the software that began the stream; empty without an event.
    pub software: String,
    /// Whether the last attempt reached its endpoint through another router.
    pub tunnel: bool,
    /// Its prompt; all zero if it has none.
    pub prompt: PromptRecord,
    arrived: Duration,
    first: Option<Duration>,
    /// When the last part of a streamed response arrived.
    last_part: Option<Duration>,
    /// Longest pause between two parts.
    longest_pause: Duration,
    /// The attempts so far, as text for the log line.
    attempts: String,
    /// The events of the attempts so far, as text for the log line.
    events: String,
    /// Number of attempts in `events`.
    listed: usize,
}

/// Data that explains how long an endpoint takes to read a prompt, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptRecord {
    /// Length of the prompt.
    pub tokens: u64,
    /// Tokens of it that the last attempt's endpoint was expected to prefill.
    pub read: u64,
    /// Id of the last part of its prefix that other requests share; 0 if there is none.
    pub prefix: u64,
}

impl Record {
    /// A request whose first byte was read at `arrived`.
    pub fn new(arrived: Duration) -> Self {
        Self {
            id: String::new(),
            route: String::new(),
            workspace: None,
            revision: Revision(0),
            age: None,
            weights: None,
            resumes: String::new(),
            last_event: None,
            software: String::new(),
            tunnel: false,
            prompt: PromptRecord::default(),
            arrived,
            first: None,
            last_part: None,
            longest_pause: Duration::ZERO,
            attempts: String::new(),
            events: String::new(),
            listed: 0,
        }
    }

    /// Adds an attempt: the endpoint, why it was chosen, how the attempt ended, and the milliseconds since the request
    /// arrived.
    pub fn attempt(&mut self, endpoint: &EndpointId, reason: &str, outcome: impl Display, now: Duration) {
        let after = now.saturating_sub(self.arrived).as_millis();
        let comma = if self.attempts.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(self.attempts, "{comma}{endpoint}:{reason}:{outcome}@{after}");
    }

    /// Adds the part of a stream that an attempt brought: the endpoint, the numbers of its first and last event, and how its
    /// body ended.
    pub fn events(&mut self, endpoint: &EndpointId, numbers: Option<(u64, u64)>, end: &str) {
        self.listed += 1;
        if self.listed > MAX_LISTED {
            return;
        }
        let comma = if self.events.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = match numbers {
            Some((first, last)) => write!(self.events, "{comma}{endpoint}:{first}-{last}:{end}"),
            None => write!(self.events, "{comma}{endpoint}:none:{end}"),
        };
    }

    /// Records that the first byte of the response is sent to the client.
    pub fn first_byte(&mut self, shared: &Shared) {
        let after = shared.clock.now().saturating_sub(self.arrived);
        if self.first.is_none() {
            self.first = Some(after);
            let histogram = shared.metrics.first.with_label_values(&[&self.route]);
            histogram.observe(after.as_secs_f64());
        }
    }

    /// Records that a part of a streamed response arrived.
    pub fn part(&mut self, shared: &Shared) {
        let now = shared.clock.now();
        let last = self.last_part.replace(now);
        let pause = last.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// Records the end of the request and writes the log line.
    pub fn end(&mut self, shared: &Shared, status: u16, outcome: &str) {
        if status < 300 || self.first.is_none() {
            self.first_byte(shared);
        }
        let total = shared.clock.now().saturating_sub(self.arrived);
        shared.metrics.requests.with_label_values(&[&self.route, outcome]).inc();
        let (weights, staleness) = self.weights.map_or((0, Staleness::Current), |weights| weights);
        log::info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            workspace = self.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
            status = status,
            outcome = outcome,
            first_ms = self.first.unwrap_or_default().as_millis() as u64,
            pause_ms = self.longest_pause.as_millis() as u64,
            total_ms = total.as_millis() as u64,
            tries = self.attempts.as_str(),
            tunnel = self.tunnel,
            events = self.events.as_str(),
            resumes = self.resumes.as_str(),
            last_event = self.last_event.map_or(-1, u64::cast_signed),
            software = self.software.as_str(),
            prompt = self.prompt.tokens,
            read = self.prompt.read,
            prefix = format!("{:x}", self.prompt.prefix).as_str(),
            weights = weights,
            behind_ms = staleness_ms(staleness),
            revision = self.revision.0,
            age_ms = self.age.unwrap_or_default().as_millis() as u64;
            "request"
        );
    }
}

/// How long weights have been outdated, in milliseconds; -1 if that is unknown.
fn staleness_ms(staleness: Staleness) -> i64 {
    match staleness {
        Staleness::Current => 0,
        Staleness::Stale(time) => time.as_millis() as i64,
        Staleness::Unknown => -1,
    }
}
