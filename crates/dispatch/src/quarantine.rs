//! Requests under which endpoints end, and how long they are kept away from other endpoints.
//!
//! Load pattern: a request that ends the process that runs it. Each router retries it at another endpoint, and its client
//! retries it at other routers under new ids, so one request ends one endpoint after another, with all that runs there.
//! Routers therefore recognize a request by its content and tell each other under which ones endpoints have ended.
//!
//! When an endpoint ends, all requests that it ran are suspects, and all but one of them are innocent. Some of these are
//! retried where the cause is retried too. So a request is quarantined only after three endpoints have ended under it, and
//! one that any endpoint has answered recently is not the cause.

use derive_more::{Display, From};
use ids::{EndpointId, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ends under a request from which it is quarantined.
const MAX_ENDS: u32 = 3;
/// Ends from which all routers are told of them. Few innocent requests have more than one.
const RECURRENT_ENDS: usize = 2;
/// Quarantine after that number of ends. Each further end doubles it.
const BASE_QUARANTINE: Duration = Duration::from_secs(20);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(120);
/// How long an end is remembered: longer than the quarantine, so that a further end extends it.
const RETENTION: Duration = Duration::from_secs(300);
/// Most ends that a router repeats to others in one message.
const MAX_REPEATED: usize = 64;
/// Number of suspects that are remembered. One endpoint that ends adds as many as it was running.
const MAX_SUSPECTS: usize = 4_096;
/// How long an answer shows that a request is not the cause of ends.
const ANSWER_PERIOD: Duration = Duration::from_secs(60);
/// Number of answered requests that are remembered.
const MAX_ANSWERED: usize = 8_192;
/// Identifies a request by its content. All attempts of clients to make the same request have the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// The key of a request with these parts, such as its method, target and body.
    pub fn of(parts: &[&[u8]]) -> Self {
        // The lengths keep parts apart that together have the same bytes.
        let fold = |seed, part: &&[u8]| xxh3_64_with_seed(part, seed ^ part.len() as u64);
        Self(parts.iter().fold(0, fold))
    }
}

/// Identifies a process of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From, Serialize, Deserialize)]
pub struct ProcessKey(pub u64);

impl ProcessKey {
    /// The key of an endpoint's incarnation.
    pub fn of(endpoint: &EndpointId, incarnation: Incarnation) -> Self {
        Self(xxh3_64_with_seed(endpoint.as_str().as_bytes(), incarnation.0))
    }
}

/// A run of a request during which the endpoint's process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// The request.
    pub content: ContentKey,
    /// The process.
    pub process: ProcessKey,
    /// When the connection broke.
    pub ended: Duration,
}

/// What a probe says of an endpoint whose connection broke during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// No process accepts connections at its address.
    Refused,
    /// A process answers, which started then, if it says so.
    Answered(Option<Incarnation>),
    /// Another endpoint has its address.
    OtherEndpoint,
    /// Nothing came in time.
    Silent,
}

/// Whether an endpoint's process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The process ended.
    Ended,
    /// It is still running, so only the connection broke.
    Alive,
    /// Unknown: the path to the endpoint may be cut.
    Unknown,
}

impl Fate {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// Unreachable endpoints from which a refused connection counts as a cut path or a failure of many endpoints, which no
/// request causes.
const MAX_UNREACHABLE: usize = 3;

/// Incarnation of an endpoint whose entry names none.
const UNKNOWN: Incarnation = Incarnation(0);

/// Judges whether the process with this incarnation ended, with `unreachable` other endpoints out of reach.
pub fn fate(probe: Probe, incarnation: Incarnation, unreachable: usize) -> Fate {
    match probe {
        Probe::Refused if unreachable < MAX_UNREACHABLE => Fate::Ended,
        Probe::Refused | Probe::Silent => Fate::Unknown,
        Probe::OtherEndpoint => Fate::Ended,
        Probe::Answered(Some(answering)) if answering != incarnation && incarnation != UNKNOWN => Fate::Ended,
        Probe::Answered(_) => Fate::Alive,
    }
}

/// The suspects that a router knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<ContentKey, Vec<EndedRun>>,
    /// Recently answered requests, the oldest first.
    answered: VecDeque<(ContentKey, Duration)>,
    last_answer: HashMap<ContentKey, Duration>,
}

impl Quarantine {
    /// Merges ends. Returns the requests of which an end was new.
    pub fn merge(&mut self, runs: &[EndedRun], now: Duration) -> Vec<ContentKey> {
        self.remove_expired(now);
        let mut changed = Vec::new();
        for run in runs {
            let known = self.suspects.entry(run.content).or_default();
            if known.iter().all(|known| known.process != run.process) {
                known.push(*run);
                changed.push(run.content);
            }
        }
        changed.dedup();
        changed
    }

    /// Records that an endpoint answered a request.
    pub fn record_answer(&mut self, content: ContentKey, now: Duration) {
        self.suspects.remove(&content);
        self.answered.push_back((content, now));
        self.last_answer.insert(content, now);
        while self.answered.len() > MAX_ANSWERED {
            self.forget_oldest_answer();
        }
    }

    /// How long a request stays in quarantine, if it is.
    pub fn remaining(&self, content: ContentKey, now: Duration) -> Option<Duration> {
        let runs = self.suspects.get(&content)?;
        let ends = runs.len() as u32;
        if ends < MAX_ENDS || self.was_answered(content, now) {
            return None;
        }
        let last = runs.iter().map(|run| run.ended).max()?;
        let doublings = (ends - MAX_ENDS).min(8);
        let time = (BASE_QUARANTINE * (1 << doublings)).min(MAX_QUARANTINE);
        let remaining = (last + time).saturating_sub(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Whether endpoints have ended under more than one run of a request, so that all routers need to know.
    pub fn is_recurrent(&self, content: ContentKey) -> bool {
        let runs = self.suspects.get(&content);
        runs.is_some_and(|runs| runs.len() >= RECURRENT_ENDS)
    }

    /// Whether an endpoint has ended under a request.
    pub fn is_suspect(&self, content: ContentKey) -> bool {
        self.suspects.contains_key(&content)
    }

    /// The ends under these requests.
    pub fn runs(&self, contents: &[ContentKey]) -> Vec<EndedRun> {
        let runs = contents.iter().filter_map(|content| self.suspects.get(content));
        runs.flatten().copied().collect()
    }

    /// Ends under requests in quarantine, to be repeated to routers that may have started since or were not reached.
    pub fn repeated(&self, now: Duration) -> Vec<EndedRun> {
        let held = self
            .suspects
            .iter()
            .filter(|(content, _)| self.remaining(**content, now).is_some());
        held.flat_map(|(_, runs)| runs).take(MAX_REPEATED).copied().collect()
    }

    /// Number of requests in quarantine.
    pub fn count(&self, now: Duration) -> usize {
        let held = self
            .suspects
            .keys()
            .filter(|content| self.remaining(**content, now).is_some());
        held.count()
    }

    fn was_answered(&self, content: ContentKey, now: Duration) -> bool {
        let answered = self.last_answer.get(&content);
        answered.is_some_and(|answered| now.saturating_sub(*answered) < ANSWER_PERIOD)
    }

    fn forget_oldest_answer(&mut self) {
        if let Some((content, at)) = self.answered.pop_front()
            && self.last_answer.get(&content) == Some(&at)
        {
            self.last_answer.remove(&content);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let last = |runs: &Vec<EndedRun>| runs.iter().map(|run| run.ended).max().unwrap_or_default();
        self.suspects
            .retain(|_, runs| now.saturating_sub(last(runs)) < RETENTION);
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, runs)| (runs.len(), last(runs)));
            let Some(content) = oldest.map(|(content, _)| *content) else {
                return;
            };
            self.suspects.remove(&content);
        }
        let is_old = |(_, at): &(ContentKey, Duration)| now.saturating_sub(*at) >= ANSWER_PERIOD;
        while self.answered.front().is_some_and(is_old) {
            self.forget_oldest_answer();
        }
    }
}
