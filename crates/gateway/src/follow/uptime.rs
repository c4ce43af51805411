//! Asks other routers whether the store had an outage.
//!
//! After an interruption of a router's connection to the store, an endpoint's entry may be missing. If the store had an
//! outage, the entry may have expired. If only this router, or the router it follows, was disconnected, the entry was
//! deregistered. A router that the store answered throughout can tell these cases apart.

use super::others::{CALL_TIMEOUT, ask_others};
use crate::control::{Event, send};
use crate::shared::Shared;
use async_std::task;
use dispatch::uptime::Span;
use peers::{Upstream, UptimeMessage};
use std::sync::Arc;
use std::time::Duration;

/// Most rounds of requests after an interruption. After a real outage no router can rule it out.
const MAX_ROUNDS: usize = 3;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(150);

/// Asks other routers whenever endpoints remain in service although their entries are missing; runs until the process
/// exits.
pub async fn query_uptime(shared: Arc<Shared>) {
    while shared.missing_signal.1.recv().await.is_ok() {
        for _ in 0..MAX_ROUNDS {
            ask(&shared).await;
            task::sleep(ROUND_PAUSE).await;
            if !shared.has_missing() {
                break;
            }
        }
    }
}

/// This router's response to another router.
pub fn response(shared: &Shared) -> Option<UptimeMessage> {
    let span = shared.uptime().span()?;
    let now = shared.clock.now();
    let age = |at| now.saturating_sub(at).as_millis() as u64;
    Some(UptimeMessage {
        from_ms: age(span.from),
        until_ms: age(span.until),
    })
}

/// Converts a response that was made between two times into the shortest period that it can mean.
pub fn span(message: UptimeMessage, answered_at: Duration, now: Duration) -> Option<Span> {
    let from = now.saturating_sub(Duration::from_millis(message.from_ms));
    let until = answered_at.checked_sub(Duration::from_millis(message.until_ms))?;
    (from <= until).then_some(Span { from, until })
}

async fn ask(shared: &Shared) {
    let sent = shared.clock.now();
    let request = |other: Upstream| async move {
        let message = other.uptime(CALL_TIMEOUT).await?;
        if let Some(span) = message.and_then(|message| span(message, sent, shared.clock.now())) {
            send(shared, Event::PeerUptime(span)).await;
        }
        Ok(())
    };
    ask_others(shared, "store: cannot get its uptime from a router", request).await;
}
