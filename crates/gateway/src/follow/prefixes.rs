//! Follows the events of the store of cached prefixes: directly where this router watches the store, by another router
//! otherwise, since the store of prefixes answers few at a time.

use super::Members;
use crate::link::ask;
use crate::shared::Shared;
use async_std::task;
use dispatch::prefixes::PrefixEvents;
use peers::{Leader, PrefixFollow};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Least time between two questions: what the store tells is late by some hundred milliseconds anyway.
const PACE: Duration = Duration::from_millis(600);
/// Least time while a page brings many events: the store keeps only the newest, several hundred of them.
const BUSY_PACE: Duration = Duration::from_millis(150);
/// Events of a page from which on the store counts as busy.
const MANY: usize = 150;
/// How long the store may wait for the first event; shorter waits cost as much as a probe.
const WAIT: Duration = Duration::from_millis(400);
/// How much longer its answer may take.
const GRACE: Duration = Duration::from_millis(400);

/// Follows the store until the process ends.
pub async fn follow_prefixes(shared: Arc<Shared>) {
    let mut position = PrefixFollow::default();
    let mut failing = false;
    let mut pace = PACE;
    loop {
        task::sleep(pace).await;
        let address = shared.site.load().as_ref().and_then(|site| site.prefix_store());
        shared.prefixes().located(address);
        let Some(address) = address else { continue };
        let page = if shared.watches.load(Ordering::SeqCst) {
            ask_store(&shared, address, position.next).await
        } else {
            ask_leader(&shared, &position).await
        };
        match page {
            Ok(Some(page)) => {
                position = PrefixFollow {
                    life: page.life,
                    next: page.next,
                };
                failing = false;
                pace = if page.events.len() >= MANY { BUSY_PACE } else { PACE };
                shared.relay.prefixes(&page);
                shared.prefixes().told(&page, shared.clock.now());
            }
            Ok(None) => {}
            Err(why) => {
                if !failing {
                    log::warn!(why = why.as_str(); "prefix store: lost");
                }
                failing = true;
            }
        }
    }
}

/// A page of the store's; none if it answers too many at once.
async fn ask_store(shared: &Shared, address: SocketAddr, next: u64) -> Result<Option<PrefixEvents>, String> {
    let (call, headers) = (shared.dialect.events)(next, WAIT);
    match ask(address, &call, &headers, WAIT + GRACE).await {
        Ok((200, body)) => {
            let told = (shared.dialect.told)(&body).map_err(|err| err.to_string())?;
            Ok(Some(told))
        }
        Ok((429, _)) => Ok(None),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(err) => Err(err.to_string()),
    }
}

/// A page of a router that asks the store; none if it has none yet.
async fn ask_leader(shared: &Shared, position: &PrefixFollow) -> Result<Option<PrefixEvents>, String> {
    let settings = shared.settings.load_full();
    let leaders = Members::read(shared).leaders(&settings.vm, &settings.domain);
    let mut why = "no router to ask".to_owned();
    for (_, address) in leaders {
        let asked = async {
            let leader = Leader::connect(address, GRACE).await?;
            leader.prefixes(*position, GRACE).await
        };
        match asked.await {
            Ok(page) => return Ok((page.life != 0).then_some(page)),
            Err(err) => why = err.to_string(),
        }
    }
    Err(why)
}
