//! Keys that bound how many runners load weights at once, over all failure domains.
//!
//! A slot is freed by writing it as free. One whose key is simply gone was held under a lease that lapsed: the old
//! holder's last load may still run, so that it is taken only after the longest order. Otherwise a lapsed holder's
//! load and two new ones would run side by side, and all would be slow.

use super::{LOAD_SLOTS, LONGEST_ORDER, RETRY_AFTER};
use std::time::Duration;

/// A slot's key as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Never used, or written as free.
    Free,
    /// Someone else's.
    Held,
    /// Under this holder's lease.
    Own,
    /// Gone with its holder's lease.
    Lapsed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Slot {
    Unknown,
    Free,
    Busy,
    Lapsed {
        until: Duration,
    },
    /// A compare-and-swap is under way.
    Taking {
        until: Duration,
    },
    Own,
    /// To be written as free; the next attempt is due at this time.
    Freeing {
        next: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotStep {
    Wait,
    Read,
    Take(usize),
    Have(usize),
}

/// The slots as one holder knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    slots: [Slot; LOAD_SLOTS],
    read: Duration,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            slots: [Slot::Unknown; LOAD_SLOTS],
            read: Duration::ZERO,
        }
    }
}

impl Slots {
    pub(super) fn seen(&mut self, seen: [SlotState; LOAD_SLOTS], now: Duration) {
        for (slot, seen) in self.slots.iter_mut().zip(seen) {
            *slot = match (*slot, seen) {
                (Slot::Own | Slot::Freeing { .. }, _) => *slot,
                (_, SlotState::Own) => Slot::Own,
                (Slot::Lapsed { until }, SlotState::Lapsed) => Slot::Lapsed { until },
                (_, SlotState::Lapsed) => Slot::Lapsed {
                    until: now + LONGEST_ORDER,
                },
                (_, SlotState::Free) => Slot::Free,
                (_, SlotState::Held) => Slot::Busy,
            };
        }
    }

    pub(super) fn taken(&mut self, slot: usize) {
        self.slots[slot] = Slot::Own;
    }

    pub(super) fn freed(&mut self, slot: usize) {
        self.slots[slot] = Slot::Unknown;
    }

    /// The slot is to be written as free. Until that is certain nobody else can use it.
    pub(super) fn give_back(&mut self, slot: usize) {
        self.slots[slot] = Slot::Freeing { next: Duration::ZERO };
    }

    /// Slots to write as free now.
    pub(super) fn due_frees(&mut self, now: Duration) -> Vec<usize> {
        let mut due = Vec::new();
        for (place, slot) in self.slots.iter_mut().enumerate() {
            if matches!(slot, Slot::Freeing { next } if now >= *next) {
                *slot = Slot::Freeing {
                    next: now + RETRY_AFTER,
                };
                due.push(place);
            }
        }
        due
    }

    /// What others hold must be read again.
    pub(super) fn forget(&mut self) {
        for slot in &mut self.slots {
            if matches!(slot, Slot::Free | Slot::Busy | Slot::Taking { .. }) {
                *slot = Slot::Unknown;
            }
        }
    }

    /// Own slots that no load uses.
    pub(super) fn unused(&self, used: &[usize]) -> Vec<usize> {
        (0..LOAD_SLOTS)
            .filter(|slot| self.slots[*slot] == Slot::Own && !used.contains(slot))
            .collect()
    }

    pub(super) fn want(&mut self, used: &[usize], now: Duration) -> SlotStep {
        if let Some(slot) = self.unused(used).first() {
            return SlotStep::Have(*slot);
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
        if let Some(place) = self.slots.iter().position(ready) {
            self.slots[place] = Slot::Taking {
                until: now + RETRY_AFTER,
            };
            return SlotStep::Take(place);
        }
        if self
            .slots
            .iter()
            .all(|slot| matches!(slot, Slot::Own | Slot::Freeing { .. }))
            || now < self.read
        {
            return SlotStep::Wait;
        }
        self.read = now + RETRY_AFTER;
        SlotStep::Read
    }
}
