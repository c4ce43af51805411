//! One endpoint as a router knows it.

use crate::fade;
use crate::site::EndpointEntry;
use ids::ModelId;
use placement::EndpointKey;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Weight of one more outcome in the running means: about ten requests back count, which a router of a small site sees
/// of one endpoint in a few seconds.
const FADE: f64 = 0.1;
/// Time in which a load report loses half of its weight: about two answers' time of the sites' slower service.
const REPORT_HALF: f64 = 1.0;

/// Time in which the share of failures loses half of its weight, seconds: a grey endpoint is tried again after about this
/// time, and its next failures count at once.
const TROUBLE_HALF: f64 = 4.0;
/// What no answer in time counts as a failure: endpoints that are full answer late too, and leaving them for it would fill
/// the others.
const SILENT: f64 = 0.3;

/// Time in which a late answer loses half of its weight, seconds: queues of one to two seconds are worked off in about that time
/// once requests go elsewhere.
const LATE_HALF: f64 = 1.0;

/// Load that an endpoint tells on its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
}

/// A load report that routers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadUpdate {
    /// Whose.
    pub endpoint: ShortKey,
    /// The report.
    pub report: LoadReport,
    /// When an endpoint's answer told it, to this router or another.
    pub reported_at: Duration,
}

/// Stands for an endpoint between routers, in 32 bits: a domain's routers tell each other hundreds of reports a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub u32);

impl From<EndpointKey> for ShortKey {
    fn from(key: EndpointKey) -> Self {
        Self((key.0 >> u32::BITS) as u32)
    }
}

/// The newest report, and how it was heard of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    pub(super) report: LoadReport,
    /// When an endpoint's answer told it.
    pub(super) told: Duration,
    /// When this router heard of it.
    pub(super) heard: Duration,
    /// Whether the answer was to this router.
    pub(super) own: bool,
}

/// What came of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer, or a stream's first event, after this time.
    Answered(Duration),
    /// The endpoint refused and has not run it.
    Declined,
    /// The endpoint ran it and answered with an error.
    Failed,
    /// The answer was broken, cut or spoilt.
    Broken,
    /// No connection.
    ConnectFailed,
    /// No answer in time.
    Timeout,
}

/// A request of this router whose prompt its endpoint has not read.
#[derive(Debug, Clone, Copy)]
struct Unread {
    since: Duration,
    tokens: u64,
}

#[derive(Debug)]
pub(super) struct Known {
    pub(super) entry: Arc<EndpointEntry>,
    /// Its id in hashes.
    pub(super) key: EndpointKey,
    /// Requests of this router there.
    in_flight: u32,
    /// This router's requests there whose prompts have not been read, the oldest first.
    unread: Vec<Unread>,
    report: Option<Heard>,
    /// Share of attempts that failed, running mean, and when it last changed.
    trouble: (f64, Duration),
    /// Seconds until an answer, running mean.
    latency: Option<f64>,
    /// Longest time until an answer, faded, and when it last changed.
    late: (Duration, Duration),
    /// Weights that answers named, which are ahead of the entry.
    weights: Vec<(ModelId, u64)>,
}

impl Known {
    pub(super) fn new(entry: Arc<EndpointEntry>) -> Self {
        let weights = entry.weights.clone();
        Self {
            key: EndpointKey::from(&entry.id),
            entry,
            in_flight: 0,
            unread: Vec::new(),
            report: None,
            trouble: (0.0, Duration::ZERO),
            latency: None,
            late: (Duration::ZERO, Duration::ZERO),
            weights,
        }
    }

    pub(super) fn update(&mut self, entry: Arc<EndpointEntry>) {
        for (model, weights) in &entry.weights {
            self.learn_weights(model, *weights);
        }
        self.entry = entry;
    }

    /// Within one life an endpoint's weights only get newer.
    pub(super) fn learn_weights(&mut self, model: &ModelId, weights: u64) {
        match self.weights.iter_mut().find(|(known, _)| known == model) {
            Some((_, known)) => *known = weights.max(*known),
            None => self.weights.push((model.clone(), weights)),
        }
    }

    pub(super) fn correct_weights(&mut self, model: &ModelId, newest: Option<u64>) {
        let listed = self.entry.weights.iter().find(|(known, _)| known == model);
        let listed = listed.map(|(_, weights)| *weights);
        if let Some((_, known)) = self.weights.iter_mut().find(|(known, _)| known == model) {
            let behind = newest.filter(|newest| *known < *newest);
            *known = behind.or(listed).unwrap_or(*known);
        }
    }

    pub(super) fn weights(&self, model: &ModelId) -> Option<u64> {
        let served = self.weights.iter().find(|(known, _)| known == model)?;
        Some(served.1)
    }

    /// Whether it has these weights of a model or newer ones, as far as is known.
    pub(super) fn serves(&self, model: &ModelId, least: u64) -> bool {
        self.weights(model).is_none_or(|weights| weights >= least)
    }

    pub(super) fn begin(&mut self, prefill: u64, now: Duration) {
        self.in_flight += 1;
        self.unread.push(Unread {
            since: now,
            tokens: prefill,
        });
    }

    pub(super) fn prefilled(&mut self, since: Duration) {
        let place = self.unread.iter().position(|unread| unread.since == since);
        if let Some(place) = place {
            self.unread.remove(place);
        }
    }

    pub(super) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Keeps the newest report, by when it was told.
    pub(super) fn reported(&mut self, heard: Heard) {
        if self.report.is_none_or(|known| known.told <= heard.told) {
            self.report = Some(heard);
        }
    }

    pub(super) fn report(&self) -> Option<&Heard> {
        self.report.as_ref()
    }

    pub(super) fn outcome(&mut self, outcome: Outcome, now: Duration) {
        let failed = match outcome {
            Outcome::Answered(after) => {
                self.late = (after.max(self.late(now)), now);
                let seconds = after.as_secs_f64();
                let mean = self.latency.unwrap_or(seconds);
                self.latency = Some(mean + FADE * (seconds - mean));
                0.0
            }
            Outcome::Declined => return,
            Outcome::Timeout => SILENT,
            Outcome::Failed | Outcome::Broken | Outcome::ConnectFailed => 1.0,
        };
        let trouble = self.trouble(now);
        self.trouble = (trouble + FADE * (failed - trouble), now);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Prompt tokens of this router's requests there that have not been read.
    pub(super) fn prefill(&self) -> u64 {
        self.unread.iter().map(|unread| unread.tokens).sum()
    }

    /// How much longer this router's requests have waited there than their own prompts take to be read at `rate` tokens a second.
    pub(super) fn held_up(&self, rate: f64, now: Duration) -> Duration {
        let mut ahead = 0;
        let held_up = self.unread.iter().map(|unread| {
            ahead += unread.tokens;
            let reading = Duration::from_secs_f64(ahead as f64 / rate);
            now.saturating_sub(unread.since).saturating_sub(reading)
        });
        held_up.max().unwrap_or_default()
    }

    /// Share of attempts that fail. What was seen fades, or an endpoint that is left for its failures would get no work,
    /// succeed in nothing, and be left for ever.
    pub(super) fn trouble(&self, now: Duration) -> f64 {
        let (trouble, at) = self.trouble;
        trouble * fade::left(now.saturating_sub(at), TROUBLE_HALF)
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// How late answers came lately. An engine admits urgent requests first, so a quick answer doesn't show that its queue is short:
    /// what was seen fades instead.
    pub(super) fn late(&self, now: Duration) -> Duration {
        let (late, at) = self.late;
        late.mul_f64(fade::left(now.saturating_sub(at), LATE_HALF))
    }

    /// Requests expected to run there, whoever sent them.
    pub(super) fn running(&self, now: Duration) -> f64 {
        let told = self.faded(now, |report| report.running + report.waiting);
        told.max(f64::from(self.in_flight))
    }

    /// Requests expected to wait there, whoever sent them.
    pub(super) fn waiting(&self, now: Duration) -> f64 {
        self.faded(now, |report| report.waiting)
    }

    fn faded(&self, now: Duration, count: impl Fn(LoadReport) -> u32) -> f64 {
        let Some(known) = self.report else { return 0.0 };
        f64::from(count(known.report)) * fade::left(now.saturating_sub(known.told), REPORT_HALF)
    }
}
