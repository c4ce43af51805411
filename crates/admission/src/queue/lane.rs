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
    /// Urgency, 0 the most urgent.
    pub rank: u8,
    /// Whether it is long among its like.
    pub length: Length,
    /// When its caller stops waiting.
    pub deadline: Option<Duration>,
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
    short: BTreeMap<Key, Queued>,
    long: BTreeMap<Key, Queued>,
    short_work: u64,
    long_work: u64,
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
        self.short.is_empty() && self.long.is_empty()
    }

    /// Slot time of what waits, microseconds.
    pub fn work(&self) -> u64 {
        self.short_work + self.long_work
    }

    /// Slot time of the long jobs that wait, microseconds.
    pub fn long_work(&self) -> u64 {
        self.long_work
    }

    /// Adds a job.
    pub fn insert(&mut self, key: Key, job: Queued) {
        let (jobs, work) = self.part_mut(job.length);
        *work += job.cost;
        let old = jobs.insert(key, job);
        assert!(old.is_none(), "two jobs with ticket {}", key.ticket);
    }

    /// Takes a job out.
    pub fn remove(&mut self, key: Key, length: Length) -> Option<Queued> {
        let (jobs, work) = self.part_mut(length);
        let job = jobs.remove(&key)?;
        *work -= job.cost;
        Some(job)
    }

    /// The job to start next, a short one if long ones may not start now.
    pub fn head(&self, long_allowed: bool) -> Option<(Key, &Queued)> {
        let short = self.short.first_key_value();
        let long = if long_allowed {
            self.long.first_key_value()
        } else {
            None
        };
        let (key, job) = match (short, long) {
            (Some(short), Some(long)) if long.0 < short.0 => long,
            (Some(short), _) => short,
            (None, long) => long?,
        };
        Some((*key, job))
    }

    /// Slot time of the jobs that start before a job with this key, microseconds.
    pub fn work_before(&self, key: Key) -> u64 {
        work_before(&self.short, self.short_work, key) + self.long_before(key)
    }

    /// Slot time of the long jobs among them.
    pub fn long_before(&self, key: Key) -> u64 {
        work_before(&self.long, self.long_work, key)
    }

    /// All jobs in the order they are to start.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Queued)> {
        let mut short = self.short.iter().peekable();
        let mut long = self.long.iter().peekable();
        std::iter::from_fn(move || {
            let long_first = match (short.peek(), long.peek()) {
                (Some(short), Some(long)) => long.0 < short.0,
                (short, _) => short.is_none(),
            };
            let (key, job) = if long_first { long.next()? } else { short.next()? };
            Some((*key, job))
        })
    }

    fn part_mut(&mut self, length: Length) -> (&mut BTreeMap<Key, Queued>, &mut u64) {
        match length {
            Length::Short => (&mut self.short, &mut self.short_work),
            Length::Long => (&mut self.long, &mut self.long_work),
        }
    }
}

/// Walks from both ends towards the key and stops where the nearer end is reached: new jobs mostly come last.
fn work_before(jobs: &BTreeMap<Key, Queued>, total: u64, key: Key) -> u64 {
    let mut before = jobs.range(..key);
    let mut after = jobs.range(key..);
    let (mut below, mut above) = (0, 0);
    loop {
        match before.next() {
            Some((_, job)) => below += job.cost,
            None => return below,
        }
        match after.next_back() {
            Some((_, job)) => above += job.cost,
            None => return total - above,
        }
    }
}
