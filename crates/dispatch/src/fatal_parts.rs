//! Parts of prompts under which endpoints end, and how long requests with them are kept away from endpoints.
//!
//! Load pattern: one part of a prompt ends every process that begins an answer to it. No two of these requests are alike, so
//! the quarantine of whole requests never recognizes them. An end takes all other requests at the endpoint with it, and
//! popular parts are in nearly every end. So no part is judged by its own number of ends. Each end has one cause: the part
//! that is in most ends explains these, and only what it leaves unexplained counts against others.
//!
//! A part that ends every process never gets a complete answer, so an answer that began after an end rules out that its
//! parts caused that end.

use crate::fleet::Prompt;
use crate::quarantine::{ContentKey, ProcessKey};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Unexplained ends from which a part is held.
const MAX_ENDS: usize = 3;
/// Ends within this time are one event: a request ends one process, so another failure ended several at once.
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Time from the last end under a held part until one request with it is tried. Each further end doubles it.
const BASE_HOLD: Duration = Duration::from_secs(30);
/// Longest such time.
const MAX_HOLD: Duration = Duration::from_secs(240);
/// Ends within this time after the previous one are due to requests that were already sent.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// How long ends and answers are remembered, and a hold without further ends.
const RETENTION: Duration = Duration::from_secs(300);
/// Routers that may try a request with a held part, the first one first.
pub const TRIAL_OWNERS: usize = 3;
/// Time by which each further owner waits longer.
const TRIAL_STAGGER: Duration = Duration::from_secs(2);
/// Time after which a trial without a result may be repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Messages age in transit, and a hold that returns to its sender must not seem newer.
const TRANSIT_MARGIN: Duration = Duration::from_secs(1);
/// Time after its first event from which a run is no suspect: the cause ends a process as the answer begins.
const YOUNG_RUN: Duration = Duration::from_secs(1);
/// Number of ends that are remembered.
const MAX_KNOWN_ENDS: usize = 256;
/// Number of parts that are remembered for one end.
const MAX_END_PARTS: usize = 256;
/// Number of parts whose last answer is remembered.
const MAX_ANSWERED: usize = 4_096;
/// Number of parts that may be held. Callers choose the parts.
const MAX_HELD: usize = 64;

/// Identifies a part of prompts for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{id:x}")]
pub struct PartId {
    /// Hash of the model.
    #[serde(rename = "m")]
    pub model: u64,
    /// The part's id as requests name it.
    #[serde(rename = "i")]
    pub id: u64,
}

impl PartId {
    /// The parts of a prompt that other requests may share.
    pub fn shared(prompt: &Prompt) -> Vec<Self> {
        let model = xxh3_64(prompt.model.as_str().as_bytes());
        let parts = prompt.shared().iter();
        parts.map(|part| Self { model, id: part.id }).collect()
    }
}

/// A part of a prompt that was running when its process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// The part.
    pub part: PartId,
    /// Its position in the prompt.
    pub depth: u16,
    /// When the last complete answer to it began, as far as the reporting router knows.
    pub answered: Option<Duration>,
}

/// The end of a process, with the parts that ran there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedProcess {
    /// The process.
    pub process: ProcessKey,
    /// When the first connection broke.
    pub ended: Duration,
    /// Parts of the prompts that it was running.
    pub suspects: Vec<Suspect>,
}

/// A part that is kept from endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// The part.
    pub part: PartId,
    /// The first of the ends that it explains.
    pub first_end: Duration,
    /// The last one.
    pub last_end: Duration,
    /// Ends since requests with it have been kept away, so under requests that were tried.
    pub strikes: u32,
}

impl Hold {
    /// When the next request with the part is tried.
    fn trial_at(&self) -> Duration {
        self.last_end + (BASE_HOLD * (1 << self.strikes.min(8))).min(MAX_HOLD)
    }

    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_end) >= RETENTION
    }
}

/// A part that is no longer held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The part.
    pub part: PartId,
    /// When it was released.
    pub at: Duration,
}

/// A part of a prompt that an endpoint answered completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The part.
    pub part: PartId,
    /// When the answer began.
    pub began: Duration,
}

/// What changed, to be told to other routers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Parts that are held from now on.
    pub held: Vec<Hold>,
    /// Parts that were held before, and are now held for longer.
    pub extended: Vec<Hold>,
    /// Parts that are held no longer.
    pub released: Vec<Release>,
    /// Parts of the prompts whose answers released a part. Empty if another part explains the ends better.
    pub answered: Vec<Answer>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.extended.is_empty() && self.released.is_empty() && self.answered.is_empty()
    }

    /// The parts that are held, whether or not they were before.
    pub fn holds(&self) -> impl Iterator<Item = &Hold> {
        self.held.iter().chain(&self.extended)
    }

    fn add(&mut self, hold: Hold, change: HoldChange) {
        match change {
            HoldChange::Begun => self.held.push(hold),
            HoldChange::Extended => self.extended.push(hold),
            HoldChange::None => {}
        }
    }
}

/// What a hold that a router learns of changes there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HoldChange {
    /// Nothing: it is known, or the part was released since.
    None,
    /// The part is held from now on.
    Begun,
    /// The part was held before, and is now held for longer.
    Extended,
}

#[derive(Debug)]
struct KnownEnd {
    ended: Duration,
    /// Parts with their greatest depth.
    parts: BTreeMap<PartId, u16>,
}

/// A part that may have caused several events.
#[derive(Debug)]
struct Candidate {
    part: PartId,
    depth: u16,
    answered: Option<Duration>,
    events: BTreeSet<usize>,
}

impl Candidate {
    /// Order of candidates. Of those in equally many events, one that was not answered for longer is the likelier cause, then
    /// one that fewer requests share.
    fn likelihood(&self) -> (usize, Reverse<Option<Duration>>, u16, PartId) {
        (self.events.len(), Reverse(self.answered), self.depth, self.part)
    }
}

/// Whether a run may have ended its process, which ended at `ended`, by when its first event came.
pub fn is_suspect_run(first_event: Option<Duration>, ended: Duration) -> bool {
    first_event.is_none_or(|began| ended.saturating_sub(began) < YOUNG_RUN)
}

/// The ends, answers and holds that a router knows.
#[derive(Debug, Default)]
pub struct FatalParts {
    ends: HashMap<ProcessKey, KnownEnd>,
    answered: HashMap<PartId, Duration>,
    /// Answered parts, the oldest first.
    answer_order: VecDeque<(PartId, Duration)>,
    held: HashMap<PartId, Hold>,
    /// Held parts that follow from the ends that this router knows.
    derived: HashSet<PartId>,
    released: HashMap<PartId, Duration>,
    /// Requests that are being tried, and until when.
    trials: HashMap<PartId, (ContentKey, Duration)>,
}

impl FatalParts {
    /// The suspects of a run that had these parts.
    pub fn suspects(&self, parts: &[PartId]) -> Vec<Suspect> {
        let suspect = |(depth, part): (usize, &PartId)| Suspect {
            part: *part,
            depth: depth.try_into().unwrap_or(u16::MAX),
            answered: self.answered.get(part).copied(),
        };
        parts.iter().enumerate().map(suspect).collect()
    }

    /// Merges ends, which may be known in part, and derives anew which parts are held.
    pub fn merge_ends(&mut self, ends: &[EndedProcess], now: Duration) -> Changes {
        self.remove_expired(now);
        for end in ends {
            self.merge_end(end);
        }
        self.derive(now)
    }

    /// Merges what another router holds and has released. Returns what changed here.
    pub fn merge(&mut self, told: &Changes, now: Duration) -> Changes {
        self.remove_expired(now);
        let mut new = Changes::default();
        for answer in &told.answered {
            if self.note_answer(answer.part, answer.began) {
                new.answered.push(*answer);
            }
        }
        for release in &told.released {
            let known = self.released.get(&release.part);
            if known.is_none_or(|at| *at + TRANSIT_MARGIN < release.at) {
                if self.held.contains_key(&release.part) {
                    new.released.push(*release);
                }
                self.release(release.part, release.at);
            }
        }
        for hold in told.holds() {
            let change = self.hold(*hold);
            new.add(*hold, change);
        }
        new
    }

    /// Records a complete answer to a prompt with these parts, and when it began. Returns the parts that are released.
    pub fn record_answer(&mut self, parts: &[PartId], began: Duration, now: Duration) -> Changes {
        let mut changes = Changes::default();
        for part in parts {
            self.note_answer(*part, began);
            if self.held.get(part).is_some_and(|hold| hold.first_end < began) {
                self.release(*part, now);
                changes.released.push(Release { part: *part, at: now });
            }
        }
        if !changes.released.is_empty() {
            // The other parts must not explain the same ends at routers that count.
            let answer = |part: &PartId| Answer { part: *part, began };
            changes.answered = parts.iter().take(MAX_END_PARTS).map(answer).collect();
        }
        changes
    }

    /// How long a request with these parts is kept from endpoints, if it is. `rank` is this router's place among those that
    /// may try a part. A request that is tried passes all further checks.
    pub fn remaining(
        &mut self,
        parts: &[PartId],
        content: ContentKey,
        rank: impl Fn(PartId) -> Option<usize>,
        now: Duration,
    ) -> Option<Duration> {
        let holds = parts.iter().filter_map(|part| self.held.get(part));
        let hold = *holds
            .filter(|hold| !hold.is_expired(now))
            .max_by_key(|hold| hold.trial_at())?;
        let trial = self.trials.get(&hold.part).filter(|(_, until)| now < *until);
        if trial.is_some_and(|(tried, _)| *tried == content) {
            return None;
        }
        let due = hold.trial_at();
        let is_owner =
            || rank(hold.part).is_some_and(|rank| rank < TRIAL_OWNERS && now >= due + TRIAL_STAGGER * rank as u32);
        if now >= due && trial.is_none() && is_owner() {
            self.trials.insert(hold.part, (content, now + TRIAL_TIMEOUT));
            return None;
        }
        // Past that time, the owners decide within a few seconds.
        Some(due.saturating_sub(now).max(TRIAL_STAGGER))
    }

    /// Whether endpoints have ended under one of these parts since its last answer.
    pub fn is_suspect(&self, parts: &[PartId]) -> bool {
        let suspects = self.suspects(parts);
        let has_ended = |suspect: &Suspect, end: &KnownEnd| {
            suspect.answered.is_none_or(|began| began < end.ended) && end.parts.contains_key(&suspect.part)
        };
        let mut ends = self.ends.values();
        ends.any(|end| suspects.iter().any(|suspect| has_ended(suspect, end)))
    }

    /// The parts that are held, to be repeated to routers that may have started since.
    pub fn held(&self, now: Duration) -> Vec<Hold> {
        let held = self.held.values().filter(|hold| !hold.is_expired(now));
        held.copied().collect()
    }

    fn merge_end(&mut self, end: &EndedProcess) {
        for suspect in &end.suspects {
            if let Some(began) = suspect.answered {
                self.note_answer(suspect.part, began);
            }
        }
        if self.ends.len() >= MAX_KNOWN_ENDS && !self.ends.contains_key(&end.process) {
            let oldest = self.ends.iter().min_by_key(|(_, known)| known.ended);
            let Some(oldest) = oldest.map(|(process, _)| *process) else {
                return;
            };
            self.ends.remove(&oldest);
        }
        let known = self.ends.entry(end.process).or_insert_with(|| KnownEnd {
            ended: end.ended,
            parts: BTreeMap::new(),
        });
        known.ended = known.ended.min(end.ended);
        for suspect in &end.suspects {
            if known.parts.len() < MAX_END_PARTS || known.parts.contains_key(&suspect.part) {
                let depth = known.parts.entry(suspect.part).or_default();
                *depth = suspect.depth.max(*depth);
            }
        }
    }

    /// Ends grouped by time, the oldest first.
    fn events(&self) -> Vec<Vec<&KnownEnd>> {
        let mut ends: Vec<&KnownEnd> = self.ends.values().collect();
        ends.sort_by_key(|end| end.ended);
        let mut events: Vec<Vec<&KnownEnd>> = Vec::new();
        for end in ends {
            match events.last_mut() {
                Some(event) if end.ended.saturating_sub(event[0].ended) < EVENT_TIME => event.push(end),
                _ => events.push(vec![end]),
            }
        }
        events
    }

    /// The parts that may have caused enough events to be held, each with its depth and these events.
    fn candidates(&self, events: &[Vec<&KnownEnd>]) -> Vec<Candidate> {
        let mut found: HashMap<PartId, Candidate> = HashMap::new();
        for (index, event) in events.iter().enumerate() {
            for (part, depth) in event.iter().flat_map(|end| &end.parts) {
                let answered = self.answered.get(part).copied();
                if answered.is_some_and(|began| began >= event[0].ended) {
                    continue;
                }
                let candidate = found.entry(*part).or_insert_with(|| Candidate {
                    part: *part,
                    depth: 0,
                    answered,
                    events: BTreeSet::new(),
                });
                candidate.depth = candidate.depth.max(*depth);
                candidate.events.insert(index);
            }
        }
        found.retain(|_, candidate| candidate.events.len() >= MAX_ENDS);
        found.into_values().collect()
    }

    /// The parts that explain most ends, each with the first and the last of these.
    fn explanations(&self) -> Vec<(PartId, Duration, Duration)> {
        let events = self.events();
        let mut candidates = self.candidates(&events);
        let mut found = Vec::new();
        while found.len() < MAX_HELD {
            let Some(likeliest) = candidates.iter().max_by_key(|candidate| candidate.likelihood()) else {
                break;
            };
            let (part, caused) = (likeliest.part, likeliest.events.clone());
            if let (Some(first), Some(last)) = (caused.first(), caused.last()) {
                found.push((part, events[*first][0].ended, events[*last][0].ended));
            }
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.events.retain(|event| !caused.contains(event)));
            candidates.retain(|candidate| candidate.events.len() >= MAX_ENDS);
        }
        found
    }

    fn derive(&mut self, now: Duration) -> Changes {
        let found = self.explanations();
        let mut changes = Changes::default();
        let explaining: HashSet<PartId> = found.iter().map(|(part, ..)| *part).collect();
        let refuted: Vec<PartId> = self.derived.difference(&explaining).copied().collect();
        for part in refuted {
            if self.held.contains_key(&part) {
                self.release(part, now);
                changes.released.push(Release { part, at: now });
            }
        }
        for (part, first_end, last_end) in found {
            let known = self.held.get(&part);
            let is_strike = known.is_some_and(|known| last_end > known.last_end + SETTLE_TIME);
            let strikes = known.map_or(0, |known| known.strikes) + u32::from(is_strike);
            let hold = Hold {
                part,
                first_end,
                last_end,
                strikes,
            };
            let change = self.hold(hold);
            changes.add(hold, change);
            self.derived.insert(part);
        }
        changes
    }

    /// Holds a part.
    fn hold(&mut self, hold: Hold) -> HoldChange {
        let released = self.released.get(&hold.part);
        if released.is_some_and(|at| hold.last_end < *at + TRANSIT_MARGIN) {
            return HoldChange::None;
        }
        let Some(known) = self.held.get_mut(&hold.part) else {
            if self.held.len() >= MAX_HELD {
                return HoldChange::None;
            }
            self.held.insert(hold.part, hold);
            return HoldChange::Begun;
        };
        let is_newer = hold.strikes > known.strikes || hold.last_end > known.last_end + TRANSIT_MARGIN;
        if !is_newer {
            return HoldChange::None;
        }
        let first_end = known.first_end.min(hold.first_end);
        *known = Hold { first_end, ..hold };
        self.trials.remove(&hold.part);
        HoldChange::Extended
    }

    fn release(&mut self, part: PartId, at: Duration) {
        self.held.remove(&part);
        self.derived.remove(&part);
        self.trials.remove(&part);
        self.released.insert(part, at);
    }

    /// Notes an answer. Returns whether it began later than the last one that was known.
    fn note_answer(&mut self, part: PartId, began: Duration) -> bool {
        let known = self.answered.entry(part).or_default();
        if began <= *known {
            return false;
        }
        *known = began;
        self.answer_order.push_back((part, began));
        while self.answer_order.len() > MAX_ANSWERED {
            self.forget_oldest_answer();
        }
        true
    }

    fn forget_oldest_answer(&mut self) {
        if let Some((part, began)) = self.answer_order.pop_front()
            && self.answered.get(&part) == Some(&began)
        {
            self.answered.remove(&part);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) >= RETENTION;
        self.ends.retain(|_, end| !is_old(end.ended));
        self.held.retain(|_, hold| !hold.is_expired(now));
        self.released.retain(|_, at| !is_old(*at));
        let held = &self.held;
        self.derived.retain(|part| held.contains_key(part));
        self.trials.retain(|part, _| held.contains_key(part));
        while self.answer_order.front().is_some_and(|(_, began)| is_old(*began)) {
            self.forget_oldest_answer();
        }
    }
}
