//! Patient requests that wait in a router while the engine chosen for them has a queue.
//!
//! Load pattern: engines load new weights in turn and answer 503 to the requests in their queues. Long prompts with one
//! attempt are then lost after they waited for seconds. A request that waits in the router is not lost, and the prompts
//! of more urgent requests don't queue behind it.

use ids::WorkspaceId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Expected wait up to which an engine's queue counts as short: about the time until routers learn of a queue's end, so
/// that engines don't run idle meanwhile.
const SHORT_QUEUE: Duration = Duration::from_millis(150);
/// Share of the objective within which the prompt must be read. The rest covers the round trip and cache misses.
const READ_SHARE: f64 = 0.85;
/// Shortest `Retry-After`, and the range of its jitter, so that refused requests don't return together.
const MIN_RETRY: Duration = Duration::from_millis(500);
const RETRY_JITTER: f64 = 0.5;
/// Longest `Retry-After`, with jitter: peaks of long prompts last for some seconds.
const MAX_RETRY: Duration = Duration::from_millis(3_000);
/// Requests and bytes of bodies that wait at one router for one service. A router with 96 MB serves a few patient
/// requests a second, each of which waits for about a second at most.
const MAX_WAITING: usize = 64;
const MAX_BYTES: usize = 8 << 20;
/// Requests of one workspace among them: half, so that the others find room.
const MAX_WORKSPACE_WAITING: usize = MAX_WAITING / 2;

/// The queue at the engine that a request would be sent to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueWait {
    /// Expected wait for the prompts queued there.
    pub expected: Duration,
    /// Part of it that recent reports show, less their age.
    pub certain: Duration,
    /// Time to read the request's own prompt.
    pub read: Duration,
}

impl QueueWait {
    /// The queue of a request before whose turn others have to be sent.
    pub const NOT_ITS_TURN: Self = Self {
        expected: Duration::MAX,
        certain: Duration::ZERO,
        read: Duration::ZERO,
    };

    /// Whether a request may be sent to the engine.
    pub fn is_short(&self) -> bool {
        self.expected <= SHORT_QUEUE
    }
}

/// What a patient request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatientStep {
    /// It is sent.
    Send,
    /// It waits until the queue is short. Holds the expected wait, for requests that find no room to wait.
    Wait(Duration),
    /// It can't be in time any more. Holds the expected wait, from which `Retry-After` follows.
    Refuse(Duration),
}

/// Whether a request has not reached an endpoint. An attempt that an endpoint with other weights than expected rejected
/// counts as `corrected`, not as sent, but its request had its turn and must not wait again.
pub fn is_unsent(sent: u32, corrected: u32) -> bool {
    sent == 0 && corrected == 0
}

/// Decides what a patient request does that arrived `since_arrival` ago. An expected wait alone is no reason to refuse
/// it, since the reports may be old and the queue shorter.
pub fn patient_step(queue: &QueueWait, since_arrival: Duration, objective: Duration) -> PatientStep {
    if queue.is_short() {
        return PatientStep::Send;
    }
    let left = objective.mul_f64(READ_SHARE).saturating_sub(since_arrival);
    if left.is_zero() || queue.certain + queue.read > left {
        return PatientStep::Refuse(queue.expected);
    }
    PatientStep::Wait(queue.expected)
}

/// `Retry-After` of a request that is refused while engines have a queue of `wait`; `draw` is uniform over all `u64`
/// values.
pub fn retry_after(wait: Duration, draw: u64) -> Duration {
    let jitter = 1.0 + RETRY_JITTER * super::fraction(draw);
    // Clamped first, because the product of a very long wait would overflow.
    wait.clamp(MIN_RETRY, MAX_RETRY).mul_f64(jitter)
}

/// Waiting requests of a service that look for an engine at the same time, each for its own prefix. The others wait for
/// one of these to be sent. With [`MIN_PAUSE`], a router makes about 20 choices a second for them at most, which a VM with
/// 0.084 of a core can afford.
const SEEKERS: usize = 2;

/// Whether a request may look for an engine while `ahead` others go first.
pub fn may_seek(ahead: usize) -> bool {
    ahead < SEEKERS
}

/// Shortest pause between two looks for an engine, and the range of its jitter, so that routers don't send to the same
/// engine at once. Routers learn of a sent prompt within about this time.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const PAUSE_JITTER: f64 = 2.0;

/// Pause until a waiting request looks for an engine again; `draw` is uniform over all `u64` values.
pub fn seek_pause(draw: u64) -> Duration {
    MIN_PAUSE.mul_f64(1.0 + PAUSE_JITTER * super::fraction(draw))
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its workspace.
    pub workspace: Option<WorkspaceId>,
    /// When its first event is late.
    pub due: Duration,
    /// Size of its body.
    pub bytes: usize,
}

/// The requests that wait at one router for one service, ordered by due time. The second request of a workspace comes
/// after the first of each other one.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: BTreeMap<u64, Entry>,
    next: u64,
    bytes: usize,
}

impl WaitQueue {
    /// Adds a request and returns its number. Returns none if the queue is full, for its workspace or for all.
    pub fn join(&mut self, entry: Entry) -> Option<u64> {
        if self.entries.len() >= MAX_WAITING || self.bytes + entry.bytes > MAX_BYTES {
            return None;
        }
        if entry.workspace.is_some() && self.count(entry.workspace.as_ref()) >= MAX_WORKSPACE_WAITING {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.bytes += entry.bytes;
        self.entries.insert(number, entry);
        Some(number)
    }

    fn count(&self, workspace: Option<&WorkspaceId>) -> usize {
        let own = |entry: &&Entry| entry.workspace.as_ref() == workspace;
        self.entries.values().filter(own).count()
    }

    /// Removes a request.
    pub fn leave(&mut self, number: u64) {
        if let Some(entry) = self.entries.remove(&number) {
            self.bytes -= entry.bytes;
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of requests that go before a request.
    pub fn ahead(&self, number: u64) -> usize {
        let mut by_due: Vec<(Duration, u64, Option<&WorkspaceId>)> = self
            .entries
            .iter()
            .map(|(number, entry)| (entry.due, *number, entry.workspace.as_ref()))
            .collect();
        by_due.sort_by_key(|(due, number, _)| (*due, *number));
        let mut turns: HashMap<Option<&WorkspaceId>, u32> = HashMap::new();
        let mut order: Vec<(u32, Duration, u64)> = Vec::with_capacity(by_due.len());
        for (due, number, workspace) in by_due {
            let turn = turns.entry(workspace).or_default();
            order.push((*turn, due, number));
            *turn += 1;
        }
        order.sort_unstable();
        let place = order.iter().position(|(_, _, other)| *other == number);
        place.unwrap_or_default()
    }
}
