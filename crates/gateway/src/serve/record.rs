//! What is written down of a request: one line, and counters.

use crate::shared::Shared;
use dispatch::fleet::Staleness;
use ids::{EndpointId, Revision, WorkspaceId};
use std::fmt::Write;
use std::time::Duration;

/// What is known of a request so far.
pub struct Record {
    /// The caller's id.
    pub id: String,
    /// Name of its route.
    pub route: String,
    /// Its workspace.
    pub workspace: Option<WorkspaceId>,
    /// Revision of the document that decided.
    pub revision: Revision,
    /// Age of that document's last confirmation.
    pub age: Option<Duration>,
    /// Weights that the last attempt named, and how far they were behind when it was sent.
    pub weights: Option<(u64, Staleness)>,
    /// Its prompt, if it has one.
    pub prompt: PromptNote,
    arrived: Duration,
    first: Option<Duration>,
    /// When the last part of a streamed answer came, and the longest pause between two.
    part: Option<Duration>,
    pause: Duration,
    tries: String,
}

/// What tells how long an endpoint reads a prompt, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromptNote {
    /// The prompt.
    pub tokens: u64,
    /// What the last attempt's endpoint was expected to read of it.
    pub read: u64,
    /// Id of its innermost part that others share; 0 if there is none.
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
            prompt: PromptNote::default(),
            arrived,
            first: None,
            part: None,
            pause: Duration::ZERO,
            tries: String::new(),
        }
    }

    /// An attempt at an endpoint, why it was chosen, and how it ended, this long after the request's arrival.
    pub fn tried(&mut self, endpoint: &EndpointId, reason: &str, outcome: &str, now: Duration) {
        let after = now.saturating_sub(self.arrived).as_millis();
        let comma = if self.tries.is_empty() { "" } else { "," };
        // Writing to a string doesn't fail.
        let _ = write!(self.tries, "{comma}{endpoint}:{reason}:{outcome}@{after}");
    }

    /// The first byte of the answer goes to the caller.
    pub fn first_byte(&mut self, shared: &Shared) {
        let after = shared.clock.now().saturating_sub(self.arrived);
        if self.first.is_none() {
            self.first = Some(after);
            let histogram = shared.metrics.first.with_label_values(&[&self.route]);
            histogram.observe(after.as_secs_f64());
        }
    }

    /// A part of a streamed answer came.
    pub fn part(&mut self, shared: &Shared) {
        let now = shared.clock.now();
        let last = self.part.replace(now);
        let pause = last.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.pause = self.pause.max(pause);
    }

    /// The request has ended.
    pub fn end(&mut self, shared: &Shared, status: u16, outcome: &str) {
        if status < 300 || self.first.is_none() {
            self.first_byte(shared);
        }
        let total = shared.clock.now().saturating_sub(self.arrived);
        shared.metrics.requests.with_label_values(&[&self.route, outcome]).inc();
        let (weights, behind) = self.weights.map_or((0, Staleness::Current), |weights| weights);
        log::info!(
            id = self.id.as_str(),
            route = self.route.as_str(),
            workspace = self.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
            status = status,
            outcome = outcome,
            first_ms = self.first.unwrap_or_default().as_millis() as u64,
            pause_ms = self.pause.as_millis() as u64,
            total_ms = total.as_millis() as u64,
            tries = self.tries.as_str(),
            prompt = self.prompt.tokens,
            read = self.prompt.read,
            prefix = format!("{:x}", self.prompt.prefix).as_str(),
            weights = weights,
            behind_ms = behind_ms(behind),
            revision = self.revision.0,
            age_ms = self.age.unwrap_or_default().as_millis() as u64;
            "request"
        );
    }
}

/// How far weights are behind, in a log line: -1 stands for an unknown time.
fn behind_ms(behind: Staleness) -> i64 {
    match behind {
        Staleness::Current => 0,
        Staleness::Stale(time) => time.as_millis() as i64,
        Staleness::Unknown => -1,
    }
}
