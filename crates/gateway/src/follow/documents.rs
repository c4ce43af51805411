//! Which document other routers have in force.
//!
//! A store that came back from a copy shows an older document until the operator has written the newest one again. A router that knew
//! that one is not misled. One that has just started, or was cut off, would take the older one for the newest, and serve keys that were
//! taken away; others can tell it better.

use super::others::{CALL, ask_others};
use crate::shared::Shared;
use ids::Revision;
use peers::Leader;

/// What this router tells another.
pub fn answer(shared: &Shared) -> Option<Revision> {
    shared.site.load().as_ref().map(|site| site.revision())
}

/// The newest document that some other routers have in force; none if nobody answers.
pub async fn newest(shared: &Shared) -> Option<Revision> {
    let question = |other: Leader| async move { other.document(CALL).await };
    let unanswered = "configuration: a router does not tell which one it has";
    let told = ask_others(shared, unanswered, question).await;
    told.into_iter().flatten().max()
}
