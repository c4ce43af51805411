//! Whether the store was away, asked of other routers.
//!
//! An entry that is missing after a break in this router's answers has lapsed if the store was away, and was removed if only this router, or
//! the one that it follows, was cut off. A router that the store answered all the while tells the one from the other.

use super::others::{CALL, ask_others};
use crate::control::{Event, send};
use crate::shared::Shared;
use async_std::task;
use dispatch::uptime::Span;
use peers::{Leader, SpanTold};
use std::sync::Arc;
use std::time::Duration;

/// Questions after a break at most: after a real outage nobody can show that there was none.
const ROUNDS: usize = 3;
/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(150);

/// Asks other routers whenever endpoints are in service whose entries are missing; until the process ends.
pub async fn witness_uptime(shared: Arc<Shared>) {
    while shared.missed.1.recv().await.is_ok() {
        for _ in 0..ROUNDS {
            ask(&shared).await;
            task::sleep(PAUSE).await;
            if !shared.has_missing() {
                break;
            }
        }
    }
}

/// What this router tells another.
pub fn answer(shared: &Shared) -> Option<SpanTold> {
    let span = shared.uptime().span()?;
    let now = shared.clock.now();
    let age = |at| now.saturating_sub(at).as_millis() as u64;
    Some(SpanTold {
        from_ms: age(span.from),
        until_ms: age(span.until),
    })
}

/// What another router told in an answer that was made between two times: the shortest span that it can mean.
pub fn span(told: SpanTold, made: Duration, now: Duration) -> Option<Span> {
    let from = now.saturating_sub(Duration::from_millis(told.from_ms));
    let until = made.checked_sub(Duration::from_millis(told.until_ms))?;
    (from <= until).then_some(Span { from, until })
}

async fn ask(shared: &Shared) {
    let sent = shared.clock.now();
    let question = |other: Leader| async move {
        let told = other.uptime(CALL).await?;
        if let Some(span) = told.and_then(|told| span(told, sent, shared.clock.now())) {
            send(shared, Event::StoreWitnessed(span)).await;
        }
        Ok(())
    };
    ask_others(shared, "store: a router does not tell its uptime", question).await;
}
