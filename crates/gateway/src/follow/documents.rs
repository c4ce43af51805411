//! Which document other routers have in force.
//!
//! A store that was restored from a backup holds an older document until an operator writes the newest one again. A
//! router that has the newer document ignores the older one. A router that has just started, or was disconnected, would
//! use the older document and accept revoked keys, so it asks other routers.

use super::others::{CALL_TIMEOUT, ask_others};
use crate::shared::Shared;
use ids::Revision;
use peers::Upstream;

/// This router's response to another router.
pub fn response(shared: &Shared) -> Option<Revision> {
    shared.site.load().as_ref().map(|site| site.revision())
}

/// The newest revision that some other routers have in force; none if no router responds.
pub async fn newest(shared: &Shared) -> Option<Revision> {
    let request = |other: Upstream| async move { other.document(CALL_TIMEOUT).await };
    let unanswered = "configuration: cannot get the revision of a router";
    let revisions = ask_others(shared, unanswered, request).await;
    revisions.into_iter().flatten().max()
}
