//! Numbered cache events, visible after a delay. An injected fault can drop some.

use super::cache::{Change, format_hash};
use std::collections::VecDeque;
use std::time::Duration;
use wire::engine::Event;

const MAX_EVENTS: usize = 1 << 16;
const MAX_EVENTS_PER_RESPONSE: usize = 4096;

/// Events of one incarnation, oldest first.
#[derive(Debug, Default)]
pub struct EventLog {
    newest: u64,
    events: VecDeque<(Duration, Event)>,
}

impl EventLog {
    /// The number of the newest event, including dropped ones.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Adds a change that becomes visible at `visible`. A lost change only uses up its number.
    pub fn add(&mut self, visible: Duration, change: Change, lost: bool) {
        self.newest += 1;
        if lost {
            return;
        }
        let (block, stored) = match change {
            Change::Stored(hash) => (format_hash(hash), true),
            Change::Evicted(hash) => (format_hash(hash), false),
        };
        self.events.push_back((
            visible,
            Event {
                number: self.newest,
                block,
                stored,
            },
        ));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events numbered above `after` that are visible at `now`.
    pub fn after(&self, now: Duration, after: u64) -> Vec<Event> {
        let from = self.events.partition_point(|(_, event)| event.number <= after);
        let visible_events = self.events.range(from..).take_while(|(visible, _)| *visible <= now);
        visible_events
            .take(MAX_EVENTS_PER_RESPONSE)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
