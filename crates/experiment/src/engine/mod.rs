//! Cost model of an engine: continuous batching with chunked prefill over a block cache.

mod cache;
mod sequence;

pub use cache::Cache;
pub use sequence::Sequence;

use self::sequence::{chunk, shared};
use crate::deployment::{BLOCK_TOKENS, DECODE_TIME, PREFILL_RATE, SLOTS, STEP_TIME};
use placement::PrefixChain;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Progress is reported once per this many generated tokens.
const PROGRESS_TOKENS: u64 = 16;

/// Progress made in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first token was generated.
    First {
        /// Number of the request.
        request: usize,
        /// Blocks found in the cache.
        cached: usize,
    },
    /// More tokens were generated.
    More {
        /// Number of the request.
        request: usize,
        /// Tokens generated so far.
        generated: u64,
    },
    /// The last token was generated.
    Last {
        /// Number of the request.
        request: usize,
    },
    /// A block was computed.
    Computed {
        /// Its hash.
        block: u64,
    },
}

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Incarnation of the engine, incremented at each crash.
    pub incarnation: u64,
    /// Whether the engine responds.
    pub alive: bool,
    /// Factor by which steps are slowed down.
    pub slowdown: f64,
    /// Whether a step is in progress.
    pub stepping: bool,
    cache: Cache,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    inbound: Vec<Sequence>,
    busy: Duration,
}

impl Engine {
    /// Creates an idle engine that caches up to `blocks`.
    pub fn new(blocks: usize) -> Self {
        Self {
            incarnation: 1,
            alive: true,
            slowdown: 1.0,
            stepping: false,
            cache: Cache::new(blocks),
            waiting: VecDeque::new(),
            running: Vec::new(),
            inbound: Vec::new(),
            busy: Duration::ZERO,
        }
    }

    /// Records a request that is on its way to the engine.
    pub fn send(&mut self, sequence: Sequence) {
        self.inbound.push(sequence);
    }

    /// Queues a request that has arrived.
    pub fn arrive(&mut self, request: usize) {
        let Some(at) = self.inbound.iter().position(|sequence| sequence.request == request) else {
            return;
        };
        self.waiting.push_back(self.inbound.remove(at));
    }

    /// The number of waiting and running requests.
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// The prompt tokens still to be prefilled, as the engine reports them.
    pub fn remaining_prefill(&self) -> u64 {
        self.remaining_tokens(self.running.iter().chain(&self.waiting))
    }

    /// Like [`Engine::remaining_prefill`], including requests still on their way. Only the oracle uses this value.
    pub fn expected_prefill(&self) -> u64 {
        self.remaining_tokens(self.running.iter().chain(&self.waiting).chain(&self.inbound))
    }

    fn remaining_tokens<'a>(&self, sequences: impl Iterator<Item = &'a Sequence>) -> u64 {
        let mut seen = HashSet::new();
        let mut tokens = 0;
        for sequence in sequences.filter(|sequence| !sequence.prefilled) {
            tokens += u64::from(sequence.tail);
            for block in &sequence.chain.blocks()[sequence.done..] {
                let computed = self.cache.holds(*block) || !seen.insert(*block);
                tokens += if computed { 0 } else { u64::from(BLOCK_TOKENS) };
            }
        }
        tokens
    }

    /// Number of leading blocks of `chain` expected in the cache when a request sent now is prefilled.
    pub fn expected_cached(&self, chain: &PrefixChain) -> usize {
        let pending = self.running.iter().chain(&self.waiting).chain(&self.inbound);
        let shared = pending
            .filter(|sequence| !sequence.prefilled)
            .map(|sequence| shared(&sequence.chain, chain));
        shared.max().unwrap_or(0).max(self.cache.matched(chain.blocks()))
    }

    /// Whether `block` is in the cache.
    pub fn holds(&self, block: u64) -> bool {
        self.cache.holds(block)
    }

    /// The total time spent in steps.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// The number of evicted blocks, and the total seconds from last use to eviction.
    pub fn evictions(&self) -> (u64, f64) {
        self.cache.evictions()
    }

    /// Starts a step if there is work; returns its duration.
    pub fn start_step(&mut self) -> Option<Duration> {
        if self.stepping || !self.alive {
            return None;
        }
        self.admit();
        self.reuse();
        if self.running.is_empty() {
            return None;
        }
        let decoding = self.running.iter().filter(|sequence| sequence.prefilled).count() as u32;
        let chunk = self
            .running
            .iter()
            .find(|sequence| !sequence.prefilled)
            .map_or(0, chunk);
        let prefill = Duration::from_secs_f64(f64::from(chunk) / PREFILL_RATE);
        let length = (STEP_TIME + DECODE_TIME * decoding + prefill).mul_f64(self.slowdown);
        self.stepping = true;
        self.busy += length;
        Some(length)
    }

    /// Ends the step in progress.
    pub fn end_step(&mut self, now: Duration, progress: &mut Vec<Progress>) {
        self.stepping = false;
        let chunked = self.running.iter().position(|sequence| !sequence.prefilled);
        for sequence in self.running.iter_mut().filter(|sequence| sequence.prefilled) {
            sequence.remaining = sequence.remaining.saturating_sub(1);
            let generated = u64::from(sequence.output - sequence.remaining);
            if generated.is_multiple_of(PROGRESS_TOKENS) {
                progress.push(Progress::More {
                    request: sequence.request,
                    generated,
                });
            }
        }
        if let Some(at) = chunked {
            self.end_chunk(at, now, progress);
        }
        let (finished, unfinished) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|sequence| sequence.prefilled && sequence.remaining == 0);
        self.running = unfinished;
        let finished: Vec<Sequence> = finished;
        for sequence in finished {
            self.cache.unpin(&sequence.chain.blocks()[..sequence.done], now);
            progress.push(Progress::Last {
                request: sequence.request,
            });
        }
    }

    /// Crashes and discards all state. Returns the lost requests.
    pub fn crash(&mut self) -> Vec<usize> {
        let lost = self
            .inbound
            .iter()
            .chain(&self.waiting)
            .chain(&self.running)
            .map(|sequence| sequence.request)
            .collect();
        let empty = Self::new(self.cache.capacity());
        *self = Self {
            incarnation: self.incarnation + 1,
            alive: false,
            busy: self.busy,
            ..empty
        };
        lost
    }

    fn admit(&mut self) {
        while self.running.len() < SLOTS {
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            self.running.push(sequence);
        }
    }

    /// Skips blocks of the next sequence to prefill that are cached by now.
    fn reuse(&mut self) {
        let Some(sequence) = self.running.iter_mut().find(|sequence| !sequence.prefilled) else {
            return;
        };
        let found = self.cache.matched(&sequence.chain.blocks()[sequence.done..]);
        self.cache
            .pin(&sequence.chain.blocks()[sequence.done..sequence.done + found]);
        sequence.done += found;
        sequence.cached += found;
    }

    fn end_chunk(&mut self, at: usize, now: Duration, progress: &mut Vec<Progress>) {
        let sequence = &mut self.running[at];
        if sequence.done < sequence.chain.blocks().len() {
            let block = sequence.chain.blocks()[sequence.done];
            sequence.done += 1;
            self.cache.insert(block, sequence.done, now);
            progress.push(Progress::Computed { block });
            return;
        }
        sequence.prefilled = true;
        sequence.remaining = sequence.remaining.saturating_sub(1);
        progress.push(Progress::First {
            request: sequence.request,
            cached: sequence.cached,
        });
    }
}
