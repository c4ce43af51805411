//! How many requests one endpoint may run at once.
//!
//! Load pattern: an engine that slows down, shrinks its cache or is shared with others while routers keep sending.
//! Without it requests pile up inside the endpoint, where no fairness, priority or deadline is kept: time to first token
//! grows for everyone and cancelled callers' work is still done. One notices that time to first token of equal prompts
//! is a multiple of what it was while the routers' queues are empty.
//!
//! The limit grows by one a round (as many answers as the limit) while first tokens come within [`CALM`] of the recent
//! minimum, and shrinks once they take more than [`INFLATED`] of it. Minima are kept for each size of prompt (quarters of a
//! doubling), so that a long prompt does not look like a slow endpoint. A refusal or a timeout shrinks it at once.

use std::time::Duration;

/// Up to this multiple of the minimum a first token counts as undisturbed. Continuous batching shares one step between
/// requests, so half as long again is the ordinary company of a prefill.
const CALM: f64 = 1.5;
/// Beyond this multiple a request has waited at least its own length inside the endpoint: it queues there.
const INFLATED: f64 = 2.0;
/// Left of the limit after a round of inflated answers; small steps avoid swinging. Steps in proportion to the inflation
/// were tried: sound endpoints with a short queue went far below what they can work on.
const SHRINK: f64 = 0.9;
/// Left of the limit after a refusal or a timeout, which show more than slowness does.
const CUT: f64 = 0.7;
/// Least minimum, seconds. Schedulers and networks delay by some milliseconds now and then; against an answer that took a
/// tenth of one that looks like a queue, and the limit of an idle endpoint would fall to one request. A queue of less
/// than twice this harms no target of a second.
const NOISE: f64 = 0.01;
/// Share that a new answer has in the mean inflation.
const BLEND: f64 = 0.2;
/// A minimum is trusted for one to two windows; caches and neighbours change within minutes.
const WINDOW: Duration = Duration::from_secs(30);
/// Left of the limit when a window ends: an endpoint that is always full shows no undisturbed answer, and its minimum
/// would creep up with its queue.
const PROBE: f64 = 0.8;
/// Sizes of prompts with a minimum of their own: up to 2^20 tokens, and within one size times differ by a fifth. With one
/// size for each doubling, sound answers came out at half as long again as the minimum.
const SIZES: usize = 80;
const SIZES_PER_DOUBLING: f64 = 4.0;
/// Cuts come at most once in this time, so that the refusals of one moment count once.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// What came of one request at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// Its first token came after this time.
    FirstToken {
        /// From sending the request.
        after: Duration,
        /// Prompt tokens the endpoint had to compute.
        uncached: u64,
    },
    /// The endpoint refused because it is full.
    Full,
    /// No answer came in time, or the connection broke.
    Timeout,
}

/// Concurrency limit of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointLimit {
    slots: u32,
    limit: f64,
    in_flight: u32,
    inflation: f64,
    answers: u32,
    minima: [[f64; SIZES]; 2],
    window_end: Duration,
    cut_end: Duration,
}

impl EndpointLimit {
    /// Limit of an endpoint that may run at most `slots` requests; it starts at half of them.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: f64::from(slots.div_ceil(2)),
            in_flight: 0,
            inflation: 1.0,
            answers: 0,
            minima: [[f64::INFINITY; SIZES]; 2],
            window_end: WINDOW,
            cut_end: Duration::ZERO,
        }
    }

    /// Requests running now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Most requests that may run now, 1 to the configured slots.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Requests that may be started now.
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// The operators changed the configured slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit = self.limit.min(f64::from(self.slots));
    }

    /// Counts a request in if one may start.
    pub fn start(&mut self) -> bool {
        if self.free() == 0 {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Counts a request out, whatever came of it.
    ///
    /// # Panics
    ///
    /// If none is running.
    pub fn end(&mut self) {
        assert!(self.in_flight > 0, "a request ended that had not been started");
        self.in_flight -= 1;
    }

    /// Takes in what came of a request; called when it is known, at the first token for most.
    pub fn observe(&mut self, sample: Sample, now: Duration) {
        self.turn_window(now);
        match sample {
            Sample::FirstToken { after, uncached } => self.first_token(after.as_secs_f64(), uncached),
            Sample::Full | Sample::Timeout => self.cut(now),
        }
        debug_assert!(self.limit >= 1.0 && self.limit <= f64::from(self.slots));
    }

    fn first_token(&mut self, seconds: f64, uncached: u64) {
        let size = ((uncached + 1) as f64).log2() * SIZES_PER_DOUBLING;
        let size = (size as usize).min(SIZES - 1);
        let newest = &mut self.minima[1][size];
        *newest = newest.min(seconds);
        let minimum = self.minima[0][size].min(self.minima[1][size]).max(NOISE);
        self.inflation += (seconds / minimum - self.inflation) * BLEND;
        self.answers += 1;
        if self.answers < self.limit() {
            return;
        }
        self.answers = 0;
        self.step();
    }

    /// A round is over. An endpoint that was not near its limit says nothing about a higher one.
    fn step(&mut self) {
        if self.inflation > INFLATED {
            self.set(self.limit * SHRINK);
            return;
        }
        if self.inflation <= CALM && self.in_flight * 2 >= self.limit() {
            self.set(self.limit + 1.0);
        }
    }

    fn cut(&mut self, now: Duration) {
        if now < self.cut_end {
            return;
        }
        self.cut_end = now + CUT_PAUSE;
        self.answers = 0;
        self.set(self.limit * CUT);
    }

    fn turn_window(&mut self, now: Duration) {
        if now < self.window_end {
            return;
        }
        self.window_end = now + WINDOW;
        self.minima = [self.minima[1], [f64::INFINITY; SIZES]];
        self.set(self.limit * PROBE);
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, f64::from(self.slots));
    }
}
