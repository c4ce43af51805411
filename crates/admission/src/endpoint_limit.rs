//! Adaptive concurrency limit of one endpoint.
//!
//! Load pattern: an engine slows down, shrinks its cache or is shared with others while routers keep sending. Without
//! an adaptive limit requests queue inside the endpoint, where fairness, priorities and deadlines do not apply. Time to
//! first token grows for all clients, and work of cancelled clients is still done. The symptom is a time to first token
//! that is a multiple of the usual one for prompts of equal length, while the routers' queues are empty.
//!
//! The limit grows by one per round (as many answers as the limit) while the smoothed ratio of time to first token to
//! the recent minimum is at most [`GROW_RATIO`]. It shrinks once the ratio exceeds [`SHRINK_RATIO`]. Minima are kept
//! per class of prompt length (quarters of a doubling), so that a long prompt does not look like a slow endpoint. A
//! refusal or a timeout shrinks the limit at once.

use std::time::Duration;

/// The limit may grow up to this ratio of time to first token to the minimum. Continuous batching shares one step
/// between requests, so a prefill normally takes up to half as long again.
const GROW_RATIO: f64 = 1.5;
/// The limit shrinks above this ratio: the request has waited at least its own service time inside the endpoint.
const SHRINK_RATIO: f64 = 2.0;
/// Factor of the limit after a slow round. Small steps avoid oscillation. Steps in proportion to the ratio reduced
/// healthy endpoints with a short queue far below their capacity.
const SHRINK_FACTOR: f64 = 0.9;
/// Factor of the limit after a refusal or a timeout, which are stronger signals than slow answers.
const FAILURE_FACTOR: f64 = 0.7;
/// Lower bound of the minimum. Schedulers and networks occasionally add some milliseconds. Relative to an
/// answer that took a tenth of a millisecond that looks like a queue, and the limit of an idle endpoint would fall to
/// one request. A queue of less than twice this bound is harmless for targets of a second.
const MIN_BASELINE_SECONDS: f64 = 0.01;
/// Weight of a new answer in the smoothed ratio.
const EWMA_WEIGHT: f64 = 0.2;
/// Minima are valid for one to two windows: caches and co-located load change within minutes.
const WINDOW: Duration = Duration::from_secs(30);
/// Factor of the limit when a window ends. A permanently full endpoint gives no undisturbed answer, and its minimum
/// would rise with its queue.
const PROBE_FACTOR: f64 = 0.8;
/// Classes of prompt length with a minimum of their own, up to 2^20 tokens. Within one class times differ by a fifth.
/// With one class per doubling, undisturbed answers measured half as long again as the minimum.
const SIZE_CLASSES: usize = 80;
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Minimum time between two failure steps, so that simultaneous refusals count once.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(100);

/// Observed result of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// The first token arrived.
    FirstToken {
        /// Time since the request was sent.
        after: Duration,
        /// Prompt tokens that were not cached.
        uncached: u64,
    },
    /// The endpoint refused the request because it is full.
    Full,
    /// The request timed out, or the connection broke.
    Timeout,
}

/// Concurrency limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLimit {
    slots: u32,
    limit: f64,
    in_flight: u32,
    latency_ratio: f64,
    answers: u32,
    minima: [[f64; SIZE_CLASSES]; 2],
    window_end: Duration,
    cooldown_end: Duration,
}

impl EndpointLimit {
    /// Creates the limit of an endpoint with `slots` configured slots. It starts at half of them.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots.div_ceil(2)),
            in_flight: 0,
            latency_ratio: 1.0,
            answers: 0,
            minima: [[f64::INFINITY; SIZE_CLASSES]; 2],
            window_end: WINDOW,
            cooldown_end: Duration::ZERO,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Current limit, from 1 to the configured slots.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Number of requests that may start now.
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Changes the configured slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    /// Starts a request if the limit allows it. Returns whether it did.
    pub fn start(&mut self) -> bool {
        if self.free() == 0 {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Ends a request, whatever its result.
    ///
    /// # Panics
    ///
    /// If no request is in flight.
    pub fn end(&mut self) {
        assert!(self.in_flight > 0, "end() without a matching start()");
        self.in_flight -= 1;
    }

    /// Adapts the limit to the result of a request. Called as soon as the result is known, for most requests at the
    /// first token.
    pub fn observe(&mut self, sample: Sample, now: Duration) {
        self.rotate_window(now);
        match sample {
            Sample::FirstToken { after, uncached } => self.observe_first_token(after.as_secs_f64(), uncached),
            Sample::Full | Sample::Timeout => self.shrink_on_failure(now),
        }
        debug_assert!(self.limit >= 1.0 && self.limit <= f64::from(self.slots));
    }

    fn observe_first_token(&mut self, seconds: f64, uncached: u64) {
        let class = ((uncached + 1) as f64).log2() * CLASSES_PER_DOUBLING;
        let class = (class as usize).min(SIZE_CLASSES - 1);
        let current = &mut self.minima[1][class];
        *current = current.min(seconds);
        let minimum = self.minima[0][class]
            .min(self.minima[1][class])
            .max(MIN_BASELINE_SECONDS);
        self.latency_ratio += (seconds / minimum - self.latency_ratio) * EWMA_WEIGHT;
        self.answers += 1;
        if self.answers < self.limit() {
            return;
        }
        self.answers = 0;
        self.adjust();
    }

    /// Adjusts the limit at the end of a round. The limit grows only if at least half of it is in use: answers of a
    /// lightly loaded endpoint do not show that a higher limit is safe.
    fn adjust(&mut self) {
        if self.latency_ratio > SHRINK_RATIO {
            self.set_limit(self.limit * SHRINK_FACTOR);
            return;
        }
        if self.latency_ratio <= GROW_RATIO && self.in_flight * 2 >= self.limit() {
            self.set_limit(self.limit + 1.0);
        }
    }

    fn shrink_on_failure(&mut self, now: Duration) {
        if now < self.cooldown_end {
            return;
        }
        self.cooldown_end = now + FAILURE_COOLDOWN;
        self.answers = 0;
        self.set_limit(self.limit * FAILURE_FACTOR);
    }

    fn rotate_window(&mut self, now: Duration) {
        if now < self.window_end {
            return;
        }
        self.window_end = now + WINDOW;
        self.minima = [self.minima[1], [f64::INFINITY; SIZE_CLASSES]];
        self.set_limit(self.limit * PROBE_FACTOR);
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, f64::from(self.slots));
    }
}
