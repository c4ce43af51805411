//! Slot keys that limit how many runners load weights at once, over all failure domains.
//!
//! A slot is freed by writing it as free. If its key is missing, the lease it was held under has lapsed, and the old
//! holder's last load may still run. Such a slot is taken only after the maximum duration of an order. Otherwise that
//! load could run at the same time as two new ones, and all three would be slow.

use super::{LOAD_SLOTS, MAX_ORDER_DURATION, RETRY_DELAY};
use std::time::Duration;

/// State of a slot key as read from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Never used, or written as free.
    Free,
    /// Held by another router.
    Held,
    /// Held under this router's lease.
    Own,
    /// The key was removed when its holder's lease lapsed.
    Expired,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slot {
    Unknown,
    Free,
    Busy,
    Lapsed {
        until: Duration,
    },
    /// A compare-and-swap is in flight.
    Taking {
        until: Duration,
    },
    Own,
    /// To be written as free. The next attempt is due at this time.
    Freeing {
        next: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotStep {
    Wait,
    Read,
    Take(usize),
    Use(usize),
}

/// The slots as known to one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    slots: [Slot; LOAD_SLOTS],
    next_read: Duration,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            slots: [Slot::Unknown; LOAD_SLOTS],
            next_read: Duration::ZERO,
        }
    }
}

impl Slots {
    pub(super) fn observe(&mut self, states: [SlotState; LOAD_SLOTS], now: Duration) {
        for (slot, state) in self.slots.iter_mut().zip(states) {
            *slot = match (*slot, state) {
                (Slot::Own | Slot::Freeing { .. }, _) => *slot,
                (_, SlotState::Own) => Slot::Own,
                (Slot::Lapsed { until }, SlotState::Expired) => Slot::Lapsed { until },
                (_, SlotState::Expired) => Slot::Lapsed {
                    until: now + MAX_ORDER_DURATION,
                },
                (_, SlotState::Free) => Slot::Free,
                (_, SlotState::Held) => Slot::Busy,
            };
        }
    }

    pub(super) fn mark_own(&mut self, slot: usize) {
        self.slots[slot] = Slot::Own;
    }

    pub(super) fn mark_freed(&mut self, slot: usize) {
        self.slots[slot] = Slot::Unknown;
    }

    /// Schedules the slot to be written as free. Until that is confirmed, no other holder can use it.
    pub(super) fn release(&mut self, slot: usize) {
        self.slots[slot] = Slot::Freeing { next: Duration::ZERO };
    }

    /// Slots to write as free now.
    pub(super) fn slots_to_free(&mut self, now: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if matches!(slot, Slot::Freeing { next } if now >= *next) {
                *slot = Slot::Freeing {
                    next: now + RETRY_DELAY,
                };
                due.push(index);
            }
        }
        due
    }

    /// Discards the state of slots that are not this holder's, so that they are read again.
    pub(super) fn invalidate(&mut self) {
        for slot in &mut self.slots {
            if matches!(slot, Slot::Free | Slot::Busy | Slot::Taking { .. }) {
                *slot = Slot::Unknown;
            }
        }
    }

    /// Own slots that are not used by a load.
    pub(super) fn unused(&self, used: &[usize]) -> Vec<usize> {
        (0..LOAD_SLOTS)
            .filter(|slot| self.slots[*slot] == Slot::Own && !used.contains(slot))
            .collect()
    }

    pub(super) fn request(&mut self, used: &[usize], now: Duration) -> SlotStep {
        if let Some(slot) = self.unused(used).first() {
            return SlotStep::Use(*slot);
        }
        if self
            .slots
            .iter()
            .any(|slot| matches!(slot, Slot::Taking { until } if now < *until))
        {
            return SlotStep::Wait;
        }
        let ready = |slot: &Slot| match slot {
            Slot::Free => true,
            Slot::Lapsed { until } => now >= *until,
            _ => false,
        };
        if let Some(index) = self.slots.iter().position(ready) {
            self.slots[index] = Slot::Taking {
                until: now + RETRY_DELAY,
            };
            return SlotStep::Take(index);
        }
        if self
            .slots
            .iter()
            .all(|slot| matches!(slot, Slot::Own | Slot::Freeing { .. }))
            || now < self.next_read
        {
            return SlotStep::Wait;
        }
        self.next_read = now + RETRY_DELAY;
        SlotStep::Read
    }
}
