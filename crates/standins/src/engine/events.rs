//! Cache events: numbered, shown late, some lost.

use super::cache::{Change, hash_text};
use std::collections::VecDeque;
use std::time::Duration;
use wire::engine::Event;

const MOST_KEPT: usize = 1 << 16;
const MOST_AT_ONCE: usize = 4096;

/// Events of one life, oldest first.
#[derive(Debug, Default)]
pub struct EventLog {
    newest: u64,
    kept: VecDeque<(Duration, Event)>,
}

impl EventLog {
    /// Number of the newest event, lost ones too.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Adds a change that shows from `visible` on, or loses it.
    pub fn add(&mut self, visible: Duration, change: Change, lost: bool) {
        self.newest += 1;
        if lost {
            return;
        }
        let (block, stored) = match change {
            Change::Stored(hash) => (hash_text(hash), true),
            Change::Evicted(hash) => (hash_text(hash), false),
        };
        self.kept.push_back((
            visible,
            Event {
                number: self.newest,
                block,
                stored,
            },
        ));
        if self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
    }

    /// Events numbered above `after` that show at `now`.
    pub fn after(&self, now: Duration, after: u64) -> Vec<Event> {
        let from = self.kept.partition_point(|(_, event)| event.number <= after);
        let shown = self.kept.range(from..).take_while(|(visible, _)| *visible <= now);
        shown.take(MOST_AT_ONCE).map(|(_, event)| event.clone()).collect()
    }
}
