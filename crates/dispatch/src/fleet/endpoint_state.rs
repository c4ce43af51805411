//! One router's state of a single endpoint.

use super::rests::Rest;
use super::work_time::{WorkTime, WorkTimes};
use crate::decay;
use crate::site::EndpointEntry;
use ids::ModelId;
use placement::EndpointKey;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Weight of a new outcome in the moving averages. The averages cover about ten requests; at a small site a router
/// sends one endpoint that many in a few seconds.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Half-life of a load report: about the duration of two answers of the slower production service.
const REPORT_HALF_LIFE_SECS: f64 = 1.0;
/// Half-life of the slots in use in a load report, for the wait for a slot: long answers run for two to five seconds.
const ANSWER_HALF_LIFE_SECS: f64 = 3.0;

/// Half-life of the failure share. A degraded endpoint is tried again after about this time, and its next failures
/// count at once.
const FAILURE_HALF_LIFE_SECS: f64 = 4.0;
/// Failure value of a timeout. Full endpoints answer late too, and avoiding them for that would fill the others.
const TIMEOUT_FAILURE: f64 = 0.3;

/// Time after a start or a load in which a prefix counts as cached only if some engine is known to have read it. Later
/// the prefixes in use have been read.
const COLD_TIME: Duration = Duration::from_secs(10);

/// Half-life of a late answer. Queues of one to two seconds drain in about this time once requests go elsewhere.
const DELAY_HALF_LIFE_SECS: f64 = 1.0;

/// Time for which a request that ended without a whole answer still counts as running at a brittle endpoint.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Factor on the largest number of requests that endpoints of a service reported to be running, for what a brittle one is
/// assumed to have room for.
const PROVEN_GROWTH: f64 = 1.1;
/// What is added to that number at least. A report doesn't count the request whose answer it comes with.
const MIN_PROVEN_GROWTH: f64 = 1.0;
/// Share of the requests at which a brittle endpoint had no room that it is assumed to have room for afterwards.
const ROOM_AFTER_REJECTION: f64 = 0.9;
/// Time after a rejection in which this router sends a brittle endpoint nothing. Others learn of the rejection meanwhile, and
/// use less of the endpoint.
const REJECTION_PAUSE: Duration = Duration::from_millis(200);
/// Growth of that room per second, as a share of the slots.
const ROOM_GROWTH: f64 = 0.01;

/// Load that an endpoint reports on its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued inside the endpoint.
    pub waiting: u32,
    /// How long work takes on its machine at that moment, if it says so.
    pub work_time: Option<WorkTime>,
}

impl LoadReport {
    /// Creates a report of running and waiting requests that doesn't say how long work takes.
    pub fn new(running: u32, waiting: u32) -> Self {
        Self {
            running,
            waiting,
            work_time: None,
        }
    }

    /// Requests that are running or queued. An endpoint may state any numbers.
    pub(super) fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// A load report as routers exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadUpdate {
    /// The endpoint that sent the report.
    pub endpoint: ShortKey,
    /// The reported load.
    pub report: LoadReport,
    /// When the endpoint sent the report, to this router or another one.
    pub reported_at: Duration,
}

/// Identifies an endpoint in messages between routers. Has 32 bits because the routers of a domain exchange hundreds
/// of reports a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortKey(pub u32);

impl From<EndpointKey> for ShortKey {
    fn from(key: EndpointKey) -> Self {
        Self((key.0 >> u32::BITS) as u32)
    }
}

/// The latest load report of an endpoint and where it came from.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedReport {
    pub(super) report: LoadReport,
    /// When the endpoint sent the report.
    pub(super) reported_at: Duration,
    /// When this router received the report.
    pub(super) received_at: Duration,
    /// Whether the endpoint sent the report to this router.
    pub(super) direct: bool,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer, or the first event of a stream, arrived after this time.
    Answered(Duration),
    /// The endpoint refused the request and has not run it.
    Declined,
    /// The endpoint ran the request and answered with an error.
    Failed,
    /// The answer was malformed, truncated or corrupted.
    Broken,
    /// No connection could be established.
    ConnectFailed,
    /// No answer arrived in time.
    Timeout,
}

/// A request of this router whose prompt the endpoint has not read yet.
#[derive(Debug, Clone, Copy)]
struct PendingPrefill {
    since: Duration,
    tokens: u64,
}

#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) entry: Arc<EndpointEntry>,
    /// Hash of the endpoint's id.
    pub(super) key: EndpointKey,
    /// Whether it has stated to this router that it leaves.
    leaving: bool,
    /// Requests of this router that are in flight.
    in_flight: u32,
    /// This router's requests whose prompts have not been read, oldest first.
    pending_prefills: Vec<PendingPrefill>,
    report: Option<ReceivedReport>,
    pub(super) work_times: WorkTimes,
    /// Moving average of the share of failed attempts, and when it last changed.
    failure_share: (f64, Duration),
    /// Moving average of the time until an answer, in seconds.
    latency: Option<f64>,
    /// Longest recent time until an answer, decayed, and when it last changed.
    recent_delay: (Duration, Duration),
    /// Weights by model, as named in answers; may be newer than those of the entry.
    weights: Vec<(ModelId, u64)>,
    /// Since when its cache may hold prefixes: its start or its last load, as far as this router knows. None if that was
    /// before this router started.
    cached_since: Option<Duration>,
    /// Places that this router's requests hold.
    held: u32,
    /// Until when requests may still run that this router has ended.
    lingering: Vec<Duration>,
    /// Requests that the endpoint was running when it last rejected one for want of room, and when that was.
    full_at: Option<(u32, Duration)>,
    /// Until when this router sends it nothing after a rejection.
    paused_until: Duration,
    /// The rest that it asked this router for.
    pub(super) rest: Rest,
    /// Most requests that it reported to be running.
    max_running: Option<u32>,
}

impl EndpointState {
    pub(super) fn new(entry: Arc<EndpointEntry>, now: Duration) -> Self {
        let weights = entry.weights.clone();
        Self {
            key: EndpointKey::from(&entry.id),
            entry,
            leaving: false,
            in_flight: 0,
            pending_prefills: Vec::new(),
            report: None,
            work_times: WorkTimes::default(),
            failure_share: (0.0, Duration::ZERO),
            latency: None,
            recent_delay: (Duration::ZERO, Duration::ZERO),
            weights,
            cached_since: Some(now),
            held: 0,
            lingering: Vec::new(),
            full_at: None,
            paused_until: Duration::ZERO,
            rest: Rest::default(),
            max_running: None,
        }
    }

    pub(super) fn hold_place(&mut self) {
        self.held += 1;
    }

    /// Frees the place of a request. Unless the endpoint has answered it, it may run for some more time.
    pub(super) fn release_place(&mut self, answered: bool, now: Duration) {
        self.held = self.held.saturating_sub(1);
        self.lingering.retain(|until| now < *until);
        if !answered {
            self.lingering.push(now + LINGER_TIME);
        }
    }

    /// Places that this router's requests hold, or may still hold.
    pub(super) fn held_places(&self, now: Duration) -> u32 {
        self.held + self.lingering.iter().filter(|until| now < **until).count() as u32
    }

    pub(super) fn record_full(&mut self, running: u32, at: Duration) {
        self.full_at = Some((running, at));
    }

    /// Records that it rejected a request of this router.
    pub(super) fn pause(&mut self, now: Duration) {
        self.paused_until = now + REJECTION_PAUSE;
    }

    /// Whether this router sends it nothing because of a rejection.
    pub(super) fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Largest share of its slots that it reported to be in use.
    pub(super) fn proven_share(&self) -> Option<f64> {
        let running = f64::from(self.max_running?);
        Some((running / f64::from(self.entry.slots.max(1))).min(1.0))
    }

    /// Share of its slots that it is assumed to have room for since it rejected a request, if it did.
    pub(super) fn limited_share(&self, now: Duration) -> Option<f64> {
        let (running, at) = self.full_at?;
        let share = f64::from(running) / f64::from(self.entry.slots.max(1));
        Some(share * ROOM_AFTER_REJECTION + ROOM_GROWTH * now.saturating_sub(at).as_secs_f64())
    }

    /// Requests that it is assumed to have room for. An endpoint of its service has had the share `proven` of its slots in
    /// use; `typical` is [`Self::limited_share`] of most of them.
    pub(super) fn room(&self, proven: f64, typical: Option<f64>, now: Duration) -> u32 {
        let slots = f64::from(self.entry.slots);
        let proven = (slots * proven * PROVEN_GROWTH).ceil() + MIN_PROVEN_GROWTH;
        let limited = self.limited_share(now).or(typical).map_or(slots, |share| slots * share);
        // Conversions of floating-point numbers saturate.
        proven.min(limited).clamp(1.0, slots.max(1.0)) as u32
    }

    /// Replaces the entry by another one of the same incarnation, which may be older than its statement that it leaves.
    pub(super) fn update(&mut self, entry: Arc<EndpointEntry>, now: Duration) {
        for (model, weights) in &entry.weights {
            self.raise_weights(model, *weights, now);
        }
        self.entry = entry;
        self.drain_if_leaving();
    }

    /// Records that it has stated that it leaves. Returns whether that is new.
    pub(super) fn mark_leaving(&mut self) -> bool {
        let is_new = !std::mem::replace(&mut self.leaving, true);
        self.drain_if_leaving();
        is_new
    }

    fn drain_if_leaving(&mut self) {
        if self.leaving && !self.entry.draining {
            Arc::make_mut(&mut self.entry).draining = true;
        }
    }

    /// Records newer weights. Within one incarnation the weights of an endpoint only get newer.
    pub(super) fn raise_weights(&mut self, model: &ModelId, weights: u64, now: Duration) {
        match self.weights.iter_mut().find(|(name, _)| name == model) {
            Some((_, current)) if *current < weights => {
                *current = weights;
                self.cached_since = Some(now);
            }
            Some(_) => {}
            None => self.weights.push((model.clone(), weights)),
        }
    }

    pub(super) fn correct_weights(&mut self, model: &ModelId, newest: Option<u64>) {
        let listed = self.entry.weights.iter().find(|(name, _)| name == model);
        let listed = listed.map(|(_, weights)| *weights);
        if let Some((_, current)) = self.weights.iter_mut().find(|(name, _)| name == model) {
            let newer = newest.filter(|newest| *current < *newest);
            *current = newer.or(listed).unwrap_or(*current);
        }
    }

    pub(super) fn weights(&self, model: &ModelId) -> Option<u64> {
        let served = self.weights.iter().find(|(name, _)| name == model)?;
        Some(served.1)
    }

    /// Whether it started or loaded a short time ago, so that its cache may lack prefixes in use.
    pub(super) fn is_new(&self, now: Duration) -> bool {
        self.cached_since
            .is_some_and(|since| now.saturating_sub(since) < COLD_TIME)
    }

    /// Records that it has served for some time, so that its cache holds the prefixes in use.
    pub(super) fn assume_cached(&mut self) {
        self.cached_since = None;
    }

    pub(super) fn request_started(&mut self, prefill: u64, now: Duration) {
        self.in_flight += 1;
        self.pending_prefills.push(PendingPrefill {
            since: now,
            tokens: prefill,
        });
    }

    pub(super) fn prefill_finished(&mut self, since: Duration) {
        let index = self.pending_prefills.iter().position(|pending| pending.since == since);
        if let Some(index) = index {
            self.pending_prefills.remove(index);
        }
    }

    pub(super) fn request_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Keeps the report that was sent last.
    pub(super) fn record_report(&mut self, received: ReceivedReport) {
        if self
            .report
            .is_none_or(|latest| latest.reported_at <= received.reported_at)
        {
            self.max_running = self.max_running.max(Some(received.report.running));
            if let Some(work_time) = received.report.work_time {
                let requests = received.report.requests();
                self.work_times.record(work_time, requests, received.reported_at);
            }
            self.report = Some(received);
        }
    }

    pub(super) fn report(&self) -> Option<&ReceivedReport> {
        self.report.as_ref()
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Duration) {
        let failure = match outcome {
            Outcome::Answered(after) => {
                self.recent_delay = (after.max(self.recent_delay(now)), now);
                let seconds = after.as_secs_f64();
                let mean = self.latency.unwrap_or(seconds);
                self.latency = Some(mean + OUTCOME_WEIGHT * (seconds - mean));
                0.0
            }
            Outcome::Declined => return,
            Outcome::Timeout => TIMEOUT_FAILURE,
            Outcome::Failed | Outcome::Broken | Outcome::ConnectFailed => 1.0,
        };
        let share = self.failure_share(now);
        self.failure_share = (share + OUTCOME_WEIGHT * (failure - share), now);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Prompt tokens of this router's requests that the endpoint has not read yet.
    pub(super) fn pending_tokens(&self) -> u64 {
        self.pending_prefills.iter().map(|pending| pending.tokens).sum()
    }

    /// How much longer this router's requests have waited than reading their prompts takes at `rate` tokens a second.
    pub(super) fn excess_wait(&self, rate: f64, now: Duration) -> Duration {
        let mut ahead = 0;
        let excess = self.pending_prefills.iter().map(|pending| {
            ahead += pending.tokens;
            let read_time = Duration::from_secs_f64(ahead as f64 / rate);
            now.saturating_sub(pending.since).saturating_sub(read_time)
        });
        excess.max().unwrap_or_default()
    }

    /// Share of failed attempts, decayed over time. Without the decay an endpoint avoided for its failures would get
    /// no requests, could not succeed and would be avoided for ever.
    pub(super) fn failure_share(&self, now: Duration) -> f64 {
        let (share, at) = self.failure_share;
        share * decay::remaining(now.saturating_sub(at), FAILURE_HALF_LIFE_SECS)
    }

    pub(super) fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// How late recent answers came, decayed over time. A quick answer doesn't lower the value: engines admit urgent
    /// requests first, so it doesn't show that the queue is short.
    pub(super) fn recent_delay(&self, now: Duration) -> Duration {
        let (delay, at) = self.recent_delay;
        delay.mul_f64(decay::remaining(now.saturating_sub(at), DELAY_HALF_LIFE_SECS))
    }

    /// Estimated number of requests running or waiting at the endpoint, from all routers.
    pub(super) fn running(&self, now: Duration) -> f64 {
        let reported = self.decayed(now, REPORT_HALF_LIFE_SECS, |report| report.requests());
        reported.max(f64::from(self.in_flight))
    }

    /// The same for long answers, which hold their slots for seconds.
    pub(super) fn occupied(&self, now: Duration) -> f64 {
        let reported = self.decayed(now, ANSWER_HALF_LIFE_SECS, |report| report.requests());
        reported.max(f64::from(self.in_flight))
    }

    /// Estimated number of requests waiting at the endpoint, from all routers.
    pub(super) fn waiting(&self, now: Duration) -> f64 {
        self.decayed(now, REPORT_HALF_LIFE_SECS, |report| report.waiting)
    }

    fn decayed(&self, now: Duration, half_life: f64, count: impl Fn(LoadReport) -> u32) -> f64 {
        let Some(latest) = self.report else { return 0.0 };
        f64::from(count(latest.report)) * decay::remaining(now.saturating_sub(latest.reported_at), half_life)
    }
}
