//! Queued jobs of one workspace.

use crate::Ticket;
use crate::reserve::Length;
use std::collections::BTreeMap;
use std::time::Duration;

/// Order of a job in its lane: by effective arrival, then by ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Arrival, delayed for less urgent ranks and longer jobs.
    pub effective_arrival: Duration,
    /// Breaks ties.
    pub ticket: Ticket,
}

/// A job in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedJob {
    /// Expected slot time, microseconds.
    pub cost: u64,
    /// Maximum output that the client allows, tokens.
    pub allowed: u64,
    /// Urgency, 0 the most urgent.
    pub rank: u8,
    /// Short or long.
    pub length: Length,
    /// Latest start that lets it end before the client's deadline.
    pub latest_start: Option<Duration>,
}

/// Queued jobs of one workspace, in start order.
#[derive(Debug, Clone, Default)]
pub struct Lane {
    /// Weight in fair sharing.
    pub weight: u32,
    /// Slot time started so far divided by the weight, microseconds. Raised to the virtual time after the lane was
    /// empty.
    pub tag: f64,
    /// Earliest time for the next retry of a refused job.
    pub next_retry: Duration,
    short: LengthQueue,
    long: LengthQueue,
}

/// Jobs of one length. The first job is kept outside the map: each decision looks at the first job of every lane, and
/// descending into 250 maps costs more than the rest of the decision.
#[derive(Debug, Clone, Default)]
struct LengthQueue {
    jobs: BTreeMap<Key, QueuedJob>,
    work: u64,
    first: Option<(Key, QueuedJob)>,
}

impl Lane {
    /// Creates an empty lane of weight 1.
    pub fn new() -> Self {
        Self {
            weight: 1,
            ..Self::default()
        }
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.short.first.is_none() && self.long.first.is_none()
    }

    /// Slot time of the queued jobs, microseconds.
    pub fn work(&self) -> u64 {
        self.short.work + self.long.work
    }

    /// Slot time of the queued long jobs, microseconds.
    pub fn long_work(&self) -> u64 {
        self.long.work
    }

    /// Adds a job.
    pub fn insert(&mut self, key: Key, job: QueuedJob) {
        self.length_queue_mut(job.length).insert(key, job);
    }

    /// Removes a job.
    pub fn remove(&mut self, key: Key, length: Length) -> Option<QueuedJob> {
        self.length_queue_mut(length).remove(key)
    }

    /// The job to start next; a short one if long jobs may not start now.
    pub fn head(&self, long_allowed: bool) -> Option<(Key, &QueuedJob)> {
        let long = if long_allowed { self.long.first.as_ref() } else { None };
        let (key, job) = match (&self.short.first, long) {
            (Some(short), Some(long)) if long.0 < short.0 => long,
            (Some(short), _) => short,
            (None, long) => long?,
        };
        Some((*key, job))
    }

    /// Slot time of the jobs before this key, microseconds.
    pub fn work_before(&self, key: Key) -> u64 {
        self.short.work_before(key) + self.long.work_before(key)
    }

    /// Slot time of the long jobs before this key, microseconds.
    pub fn long_before(&self, key: Key) -> u64 {
        self.long.work_before(key)
    }

    /// All jobs in start order.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &QueuedJob)> {
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

    fn length_queue_mut(&mut self, length: Length) -> &mut LengthQueue {
        match length {
            Length::Short => &mut self.short,
            Length::Long => &mut self.long,
        }
    }
}

impl LengthQueue {
    fn insert(&mut self, key: Key, job: QueuedJob) {
        self.work += job.cost;
        if self.first.is_none_or(|(first, _)| key < first) {
            self.first = Some((key, job));
        }
        let old = self.jobs.insert(key, job);
        assert!(old.is_none(), "ticket {} queued twice", key.ticket);
    }

    fn remove(&mut self, key: Key) -> Option<QueuedJob> {
        let job = self.jobs.remove(&key)?;
        self.work -= job.cost;
        if self.first.is_some_and(|(first, _)| first == key) {
            self.first = self.jobs.first_key_value().map(|(key, job)| (*key, *job));
        }
        Some(job)
    }

    /// Iterates from both ends towards the key and stops at the nearer one: new jobs are mostly the last ones.
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
