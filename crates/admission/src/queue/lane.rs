//! The queued jobs of one workspace.

use crate::Ticket;
use crate::reserve::Length;
use std::collections::BTreeMap;
use std::time::Duration;

/// Place of a job in its lane: the time it counts as arrived at, then its ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Arrival, put back for lower ranks and longer jobs.
    pub due: Duration,
    /// Tells jobs of equal time apart.
    pub ticket: Ticket,
}

/// A job in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// Expected slot time, microseconds.
    pub cost: u64,
    /// Output that its caller allows, tokens.
    pub allowed: u64,
    /// Urgency, 0 the most urgent.
    pub rank: u8,
    /// Whether it is long among its like.
    pub length: Length,
    /// When it must have started to end before its caller stops waiting.
    pub latest: Option<Duration>,
}

/// The queued jobs of one workspace, in the order they are to start.
#[derive(Debug, Clone, Default)]
pub struct Lane {
    /// Weight in fair sharing.
    pub weight: u32,
    /// Slot time started so far by weight, microseconds, raised to the virtual time when the lane was empty.
    pub tag: f64,
    /// Until when the returns of refused jobs are spread.
    pub promised: Duration,
    short: Part,
    long: Part,
}

/// Jobs of one length. The first is kept beside the map: each decision looks at the first job of every lane, and walking
/// into 250 maps costs more than the decision.
#[derive(Debug, Clone, Default)]
struct Part {
    jobs: BTreeMap<Key, Queued>,
    work: u64,
    first: Option<(Key, Queued)>,
}

impl Lane {
    /// Empty lane of weight 1.
    pub fn new() -> Self {
        Self {
            weight: 1,
            ..Self::default()
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.short.first.is_none() && self.long.first.is_none()
    }

    /// Slot time of what waits, microseconds.
    pub fn work(&self) -> u64 {
        self.short.work + self.long.work
    }

    /// Slot time of the long jobs that wait, microseconds.
    pub fn long_work(&self) -> u64 {
        self.long.work
    }

    /// Adds a job.
    pub fn insert(&mut self, key: Key, job: Queued) {
        self.part_mut(job.length).insert(key, job);
    }

    /// Takes a job out.
    pub fn remove(&mut self, key: Key, length: Length) -> Option<Queued> {
        self.part_mut(length).remove(key)
    }

    /// The job to start next, a short one if long ones may not start now.
    pub fn head(&self, long_allowed: bool) -> Option<(Key, &Queued)> {
        let long = if long_allowed { self.long.first.as_ref() } else { None };
        let (key, job) = match (&self.short.first, long) {
            (Some(short), Some(long)) if long.0 < short.0 => long,
            (Some(short), _) => short,
            (None, long) => long?,
        };
        Some((*key, job))
    }

    /// Slot time of the jobs that start before a job with this key, microseconds.
    pub fn work_before(&self, key: Key) -> u64 {
        self.short.work_before(key) + self.long.work_before(key)
    }

    /// Slot time of the long jobs among them.
    pub fn long_before(&self, key: Key) -> u64 {
        self.long.work_before(key)
    }

    /// All jobs in the order they are to start.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Queued)> {
        let mut short = self.short.jobs.iter().peekable();
        let mut long = self.long.jobs.iter().peekable();
        std::iter::from_fn(move || {
            let long_first = match (short.peek(), long.peek()) {
                (Some(short), Some(long)) => long.0 < short.0,
                (short, _) => short.is_none(),
            };
            let (key, job) = if long_first { long.next()? } else { short.next()? };
            Some((*key, job))
        })
    }

    fn part_mut(&mut self, length: Length) -> &mut Part {
        match length {
            Length::Short => &mut self.short,
            Length::Long => &mut self.long,
        }
    }
}

impl Part {
    fn insert(&mut self, key: Key, job: Queued) {
        self.work += job.cost;
        if self.first.is_none_or(|(first, _)| key < first) {
            self.first = Some((key, job));
        }
        let old = self.jobs.insert(key, job);
        assert!(old.is_none(), "two jobs with ticket {}", key.ticket);
    }

    fn remove(&mut self, key: Key) -> Option<Queued> {
        let job = self.jobs.remove(&key)?;
        self.work -= job.cost;
        if self.first.is_some_and(|(first, _)| first == key) {
            self.first = self.jobs.first_key_value().map(|(key, job)| (*key, *job));
        }
        Some(job)
    }

    /// Walks from both ends towards the key and stops where the nearer end is reached: new jobs mostly come last.
    fn work_before(&self, key: Key) -> u64 {
        let mut before = self.jobs.range(..key);
        let mut after = self.jobs.range(key..);
        let (mut below, mut above) = (0, 0);
        loop {
            match before.next() {
                Some((_, job)) => below += job.cost,
                None => return below,
            }
            match after.next_back() {
                Some((_, job)) => above += job.cost,
                None => return self.work - above,
            }
        }
    }
}
