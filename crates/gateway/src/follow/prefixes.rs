//! Follows the events of the store of cached prefixes.

use crate::link::ask;
use crate::shared::Shared;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Least time between two questions: the store holds few of them at a time for all routers, and what it tells is late anyway.
const PACE: Duration = Duration::from_millis(600);
/// How long the store may wait for the first event; shorter waits cost as much as a probe.
const WAIT: Duration = Duration::from_millis(400);
/// How much longer its answer may take.
const GRACE: Duration = Duration::from_millis(400);

/// Follows the store until the process ends.
pub async fn follow_prefixes(shared: Arc<Shared>) {
    let mut next = 0;
    let mut failing = false;
    loop {
        task::sleep(PACE).await;
        let address = shared.site.load().as_ref().and_then(|site| site.prefix_store());
        shared.prefixes().located(address);
        let Some(address) = address else { continue };
        let (call, headers) = (shared.dialect.events)(next, WAIT);
        let page = match ask(address, &call, &headers, WAIT + GRACE).await {
            Ok((200, body)) => (shared.dialect.told)(&body).map_err(|err| err.to_string()),
            // The store is there and answers too many at once.
            Ok((429, _)) => continue,
            Ok((status, _)) => Err(format!("status {status}")),
            Err(err) => Err(err.to_string()),
        };
        match page {
            Ok(page) => {
                next = page.next;
                failing = false;
                shared.prefixes().told(&page, shared.clock.now());
            }
            Err(why) => {
                if !failing {
                    log::warn!(why:% = why; "prefix store: lost");
                }
                failing = true;
            }
        }
    }
}
