//! Tells other routers under which parts of prompts endpoints have ended.
//!
//! An end breaks the requests of many routers, and each knows only its own. So all of them report to the same few routers
//! of each failure domain, which put the reports of one end together, decide which parts are held, and tell the routers of
//! their domain. A domain that is cut off decides by itself. What is held is repeated with the news.
//!
//! Nothing here refers to the rest of the router: callers pass the time, and how to find other routers.

mod message;
mod sender;

pub use sender::{Neighbor, Neighbors};

use async_channel::{Receiver, Sender};
use dispatch::fatal_parts::{Changes, EndedProcess, FatalParts, PartId, Suspect};
use dispatch::quarantine::ContentKey;
use peers::{HoldMessage, PartsMessage};
use prometheus::IntGauge;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Reports that wait to be sent.
const MAX_UNSENT: usize = 4_096;

/// Something to tell other routers.
enum Report {
    /// A process ended. The sender is dropped once the counting routers know.
    Ended(EndedProcess, Sender<()>),
    /// Decisions, for the routers of this failure domain.
    Decided(Changes),
    /// Parts that this router saw answered, for all routers.
    Answered(Changes),
}

/// The parts of prompts that this router keeps from endpoints.
pub struct PartHolds {
    state: Mutex<FatalParts>,
    outbox: (Sender<Report>, Receiver<Report>),
    held_count: IntGauge,
}

impl PartHolds {
    /// Holds nothing. `held_count` shows the number of held parts.
    pub fn new(held_count: IntGauge) -> Self {
        Self {
            state: Mutex::default(),
            outbox: async_channel::bounded(MAX_UNSENT),
            held_count,
        }
    }

    /// How long a request with these parts is kept from endpoints, if it is; see [`FatalParts::remaining`].
    pub fn remaining(
        &self,
        parts: &[PartId],
        content: ContentKey,
        rank: impl Fn(PartId) -> Option<usize>,
        now: Duration,
    ) -> Option<Duration> {
        self.lock().remaining(parts, content, rank, now)
    }

    /// Whether endpoints have ended under one of these parts since its last answer.
    pub fn is_suspect(&self, parts: &[PartId]) -> bool {
        self.lock().is_suspect(parts)
    }

    /// The suspects of a run that had these parts.
    pub fn suspects(&self, parts: &[PartId]) -> Vec<Suspect> {
        self.lock().suspects(parts)
    }

    /// Records a complete answer to a prompt with these parts, and when it began.
    pub fn record_answer(&self, parts: &[PartId], began: Duration, now: Duration) {
        let changes = self.lock().record_answer(parts, began, now);
        if !changes.is_empty() {
            self.log(&changes);
            self.send(Report::Answered(changes));
        }
    }

    /// Reports the end of a process. Returns when the routers that count and were reached know of it.
    pub async fn report(&self, end: EndedProcess) {
        let (sent, done) = async_channel::bounded(1);
        self.send(Report::Ended(end, sent));
        // Nothing is ever sent, so this returns when the channel is closed.
        let _ = done.recv().await;
    }

    /// Handles what another router reports or tells. Returns what this router holds.
    pub fn handle(&self, message: &PartsMessage, now: Duration) -> PartsMessage {
        let told = message::changes(message, now);
        let new = self.lock().merge(&told, now);
        self.log(&new);
        let ends = message::ends(message, now);
        if !ends.is_empty() {
            self.count(&ends, now);
        }
        PartsMessage {
            held: self.repeated(now),
            ..PartsMessage::default()
        }
    }

    /// The parts that are held, to be repeated with the news.
    pub fn repeated(&self, now: Duration) -> Vec<HoldMessage> {
        let held = self.lock().held(now);
        self.held_count.set(held.len() as i64);
        held.iter().map(|hold| message::hold(hold, now)).collect()
    }

    /// Merges the parts that another router repeated.
    pub fn merge_repeated(&self, held: &[HoldMessage], now: Duration) {
        if held.is_empty() {
            return;
        }
        let told = Changes {
            held: held.iter().map(|hold| message::parse_hold(hold, now)).collect(),
            ..Changes::default()
        };
        let new = self.lock().merge(&told, now);
        self.log(&new);
    }

    /// Merges ends and tells the routers of this domain what follows.
    fn count(&self, ends: &[EndedProcess], now: Duration) {
        let changes = self.lock().merge_ends(ends, now);
        if !changes.is_empty() {
            self.log(&changes);
            self.send(Report::Decided(changes));
        }
    }

    fn send(&self, report: Report) {
        // A full queue means that the other routers don't respond.
        let _ = self.outbox.0.try_send(report);
    }

    /// Logs parts that are held or released from now on.
    fn log(&self, changes: &Changes) {
        for hold in &changes.held {
            log::warn!(part:% = hold.part, strikes = hold.strikes; "prompt part: held");
        }
        for release in &changes.released {
            log::warn!(part:% = release.part; "prompt part: released");
        }
    }

    fn lock(&self) -> MutexGuard<'_, FatalParts> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
