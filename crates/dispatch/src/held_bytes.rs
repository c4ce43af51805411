//! How many bytes of responses a process holds for slow readers, and which connection is closed if there are too many.
//!
//! Load pattern: endpoints send bytes without end, many at once, and clients read slowly. An endpoint cuts off a response
//! that stays unread for some seconds, so responses are read on while there is room. Without room, reading pauses, which the
//! sender notices as backpressure. A pause must not last: if all holders waited for each other, none would end.
//!
//! Order of closing: the holder of the most bytes first, of equal ones the one that holds bytes for the longest time. Only
//! one is closed at a time: while it frees its bytes, for at most [`MAX_PAUSE`], no other one is. It is closed only for
//! another holder that
//!
//! - holds at most half as many bytes, at once, so that small responses are served beside endless ones, or
//! - has waited for [`MAX_PAUSE`].

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes held at once, a sixth of the memory of the users' smallest VMs (96 MB). Request bodies may take a third, and a
/// router without load takes less than a tenth.
pub const MAX_HELD_BYTES: usize = 16 << 20;
/// Bytes that one read adds. A read begins only if there is room for them.
pub const READ_BYTES: usize = 16 << 10;
/// Bytes of the budget that only reads which can't be avoided may use: one read each for 128 connections. If reading ahead
/// used all of it, streams to fast clients would pause and have slow ones closed.
pub const AHEAD_RESERVE: usize = 2 << 20;
/// Longest pause without room. Endpoints cut off a response that is unread for some seconds, and clients of calls wait for
/// some hundred milliseconds.
pub const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Identifies a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder may do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextRead {
    /// Read once.
    Read,
    /// Ask again soon.
    Pause,
    /// Ask again soon; this holder is to be closed meanwhile, which may be the one that asks.
    Close(HolderId),
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    bytes: usize,
    since: Duration,
    /// Since when it waits for room.
    paused: Option<Duration>,
    /// Since when it is told to close.
    closing: Option<Duration>,
}

/// The bytes that a process holds.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    limit: usize,
    used: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
}

impl HeldBytes {
    /// Nothing is held yet, and at most about `limit` bytes will be.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Bytes held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Bytes that a holder holds.
    pub fn bytes(&self, id: HolderId) -> usize {
        self.holders.get(&id).map_or(0, |holder| holder.bytes)
    }

    /// Adds a holder of no bytes.
    pub fn open(&mut self, now: Duration) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            since: now,
            paused: None,
            closing: None,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Sets how many bytes a holder holds.
    pub fn set(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used = self.used - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Removes a holder.
    pub fn close(&mut self, id: HolderId) {
        self.set(id, 0);
        self.holders.remove(&id);
    }

    /// Whether there is room for one read of a holder that can't go on without it.
    pub fn has_room(&self) -> bool {
        self.used + READ_BYTES <= self.limit
    }

    /// Whether there is room for one read of a holder that can do without it.
    pub fn has_room_ahead(&self) -> bool {
        self.used + READ_BYTES + AHEAD_RESERVE <= self.limit
    }

    /// Decides on the next read of a holder that can't go on without it.
    pub fn next_read(&mut self, id: HolderId, now: Duration) -> NextRead {
        let has_room = self.has_room();
        let Some(holder) = self.holders.get_mut(&id) else {
            return NextRead::Pause;
        };
        if has_room {
            holder.paused = None;
            return NextRead::Read;
        }
        let paused = now.saturating_sub(*holder.paused.get_or_insert(now));
        let bytes = holder.bytes;
        let is_awaited =
            |holder: &Holder| matches!(holder.closing, Some(since) if now.saturating_sub(since) <= MAX_PAUSE);
        if holder.closing.is_some() || self.holders.values().any(is_awaited) {
            // Its bytes usually become free within milliseconds.
            return NextRead::Pause;
        }
        let order = |(id, holder): &(&HolderId, &mut Holder)| (holder.bytes, Reverse((holder.since, **id)));
        let open = self.holders.iter_mut().filter(|(_, holder)| holder.closing.is_none());
        let Some((first, holder)) = open.max_by_key(order) else {
            return NextRead::Pause;
        };
        if holder.bytes / 2 < bytes && paused < MAX_PAUSE {
            return NextRead::Pause;
        }
        holder.closing = Some(now);
        NextRead::Close(*first)
    }
}
