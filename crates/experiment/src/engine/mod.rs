//! Cost model of an engine: continuous batching with chunked prefill over a block cache.

mod cache;
mod sequence;

pub use cache::Cache;
pub use sequence::Sequence;

use self::sequence::{chunk, shared};
use crate::deployment::{BLOCK_TOKENS, DECODE, PREFILL_RATE, SLOTS, STEP};
use placement::PrefixChain;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Progress is told each time this many tokens have come.
const MORE: u64 = 16;

/// What a step brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The first token, with the blocks that were found in the cache.
    First {
        /// Number of the request.
        request: usize,
        /// Blocks found.
        cached: usize,
    },
    /// Some more tokens.
    More {
        /// Number of the request.
        request: usize,
        /// Tokens generated so far.
        generated: u64,
    },
    /// The last token.
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

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Life of the engine; grows with each crash.
    pub incarnation: u64,
    /// Whether it answers.
    pub alive: bool,
    /// Steps take this many times as long.
    pub slowness: f64,
    /// Whether a step is under way.
    pub stepping: bool,
    cache: Cache,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    inbound: Vec<Sequence>,
    busy: Duration,
}

impl Engine {
    /// An idle engine that caches up to `blocks`.
    pub fn new(blocks: usize) -> Self {
        Self {
            incarnation: 1,
            alive: true,
            slowness: 1.0,
            stepping: false,
            cache: Cache::new(blocks),
            waiting: VecDeque::new(),
            running: Vec::new(),
            inbound: Vec::new(),
            busy: Duration::ZERO,
        }
    }

    /// A request was sent here.
    pub fn send(&mut self, sequence: Sequence) {
        self.inbound.push(sequence);
    }

    /// A request that was sent arrived.
    pub fn arrive(&mut self, request: usize) {
        let Some(at) = self.inbound.iter().position(|sequence| sequence.request == request) else {
            return;
        };
        self.waiting.push_back(self.inbound.remove(at));
    }

    /// Requests inside.
    pub fn requests(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Prompt tokens still to be prefilled, as the engine reports them.
    pub fn prefill_left(&self) -> u64 {
        self.tokens_left(self.running.iter().chain(&self.waiting))
    }

    /// Like [`Engine::prefill_left`], with requests on their way here: only the oracle knows them.
    pub fn prefill_coming(&self) -> u64 {
        self.tokens_left(self.running.iter().chain(&self.waiting).chain(&self.inbound))
    }

    fn tokens_left<'a>(&self, sequences: impl Iterator<Item = &'a Sequence>) -> u64 {
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

    /// Blocks of `chain` that will be in the cache when a request sent now gets its turn.
    pub fn will_hold(&self, chain: &PrefixChain) -> usize {
        let coming = self.running.iter().chain(&self.waiting).chain(&self.inbound);
        let shared = coming
            .filter(|sequence| !sequence.prefilled)
            .map(|sequence| shared(&sequence.chain, chain));
        shared.max().unwrap_or(0).max(self.cache.matched(chain.blocks()))
    }

    /// Whether `block` is in the cache.
    pub fn holds(&self, block: u64) -> bool {
        self.cache.holds(block)
    }

    /// Time spent in steps so far.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Ages of evicted blocks: how many, and seconds in all since their last use.
    pub fn evictions(&self) -> (u64, f64) {
        self.cache.evictions()
    }

    /// Starts a step if there is work; returns how long it takes.
    pub fn start(&mut self) -> Option<Duration> {
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
        let length = (STEP + DECODE * decoding + prefill).mul_f64(self.slowness);
        self.stepping = true;
        self.busy += length;
        Some(length)
    }

    /// Ends the step under way.
    pub fn end(&mut self, now: Duration, progress: &mut Vec<Progress>) {
        self.stepping = false;
        let chunked = self.running.iter().position(|sequence| !sequence.prefilled);
        for sequence in self.running.iter_mut().filter(|sequence| sequence.prefilled) {
            sequence.left = sequence.left.saturating_sub(1);
            let generated = u64::from(sequence.output - sequence.left);
            if generated.is_multiple_of(MORE) {
                progress.push(Progress::More {
                    request: sequence.request,
                    generated,
                });
            }
        }
        if let Some(at) = chunked {
            self.end_chunk(at, now, progress);
        }
        let (ended, going) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it| it.prefilled && it.left == 0);
        self.running = going;
        let ended: Vec<Sequence> = ended;
        for sequence in ended {
            self.cache.unpin(&sequence.chain.blocks()[..sequence.done], now);
            progress.push(Progress::Last {
                request: sequence.request,
            });
        }
    }

    /// Crashes: everything inside is lost; returns the requests that were.
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

    /// The sequence whose prefill is next skips what is cached by now.
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
        sequence.left = sequence.left.saturating_sub(1);
        progress.push(Progress::First {
            request: sequence.request,
            cached: sequence.cached,
        });
    }
}
