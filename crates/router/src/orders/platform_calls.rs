//! The holder's calls to the platform.

use crate::shared::Shared;
use control::orders::{Event, LOAD_SLOTS, SlotState, Step};
use ids::{DomainId, Fence, Version};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::{PlatformError, Written};
use wire::platform::{Entry, Put};

/// Value of a slot that nobody uses.
const FREE: &str = "free";

/// Names of the keys, and the versions that slots had when they were read.
pub struct Keys {
    holder: String,
    seen: Mutex<Seen>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    fence: Fence,
    versions: [Version; LOAD_SLOTS],
}

impl Keys {
    /// The keys of a failure domain; slots are shared by all.
    pub fn new(domain: &DomainId) -> Self {
        Self {
            holder: format!("orders/{domain}/holder"),
            seen: Mutex::default(),
        }
    }

    fn slot(index: usize) -> String {
        format!("orders/slots/{index}")
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Carries out a step that calls the platform; `None` for steps whose outcome nobody waits for.
pub async fn carry_out(shared: &Shared, keys: &Keys, step: Step) -> Option<Event> {
    let outcome = match step {
        Step::ReadHolder => look(shared, keys).await,
        Step::RequestLease(ttl) => ask(shared, ttl).await,
        Step::Renew(id) => renew(shared, id).await,
        Step::Claim(id) => claim(shared, keys, id).await,
        Step::ReadSlots(fence) => read_slots(shared, keys, fence).await,
        Step::TakeSlot { slot, lease } => return Some(take_slot(shared, keys, slot, lease).await),
        Step::FreeSlot(slot) => return free_slot(shared, keys, slot).await,
        Step::Revoke(id) => {
            // A lease that is not given back lapses by itself.
            let _ = shared.platform.revoke(id.0).await;
            return None;
        }
        Step::Send { .. } | Step::Abandon | Step::Report(_) => return None,
    };
    Some(outcome.unwrap_or(Event::PlatformFailed))
}

async fn look(shared: &Shared, keys: &Keys) -> Result<Event, PlatformError> {
    let entry = shared.platform.get(&keys.holder).await?;
    let held = entry.is_some_and(|entry| entry.value.is_some());
    Ok(if held { Event::HeldByOther } else { Event::HolderAbsent })
}

async fn ask(shared: &Shared, ttl: Duration) -> Result<Event, PlatformError> {
    let asked = shared.clock.now();
    let lease = shared.platform.grant(ttl).await?;
    Ok(Event::Granted {
        id: Fence(lease.id),
        ttl: Duration::from_millis(lease.ttl_ms),
        requested: asked,
    })
}

async fn renew(shared: &Shared, id: Fence) -> Result<Event, PlatformError> {
    let asked = shared.clock.now();
    let renewed = shared.platform.renew(id.0).await?;
    Ok(match renewed {
        Some(lease) => Event::Granted {
            id,
            ttl: Duration::from_millis(lease.ttl_ms),
            requested: asked,
        },
        None => Event::LeaseExpired(id),
    })
}

/// Reads before it writes: an earlier claim of this lease may have taken effect without an answer.
async fn claim(shared: &Shared, keys: &Keys, id: Fence) -> Result<Event, PlatformError> {
    let entry = shared.platform.get(&keys.holder).await?;
    if let Some(value) = entry.as_ref().and_then(|entry| entry.value.as_deref()) {
        return Ok(judge(value, id));
    }
    let expect = entry.map_or(Version(0), |entry| entry.version);
    let put = Put {
        key: keys.holder.clone(),
        value: Some(id.to_string()),
        expect,
        lease: Some(id.0),
    };
    Ok(match shared.platform.put(&put).await? {
        Written::Done(_) => Event::Claimed(id),
        Written::Conflict(entry) => judge(entry.value.as_deref().unwrap_or_default(), id),
    })
}

fn judge(value: &str, id: Fence) -> Event {
    if value == id.to_string() {
        Event::Claimed(id)
    } else {
        Event::HeldByOther
    }
}

async fn read_slots(shared: &Shared, keys: &Keys, fence: Fence) -> Result<Event, PlatformError> {
    let mut seen = [SlotState::Free; LOAD_SLOTS];
    let mut versions = [Version(0); LOAD_SLOTS];
    for slot in 0..LOAD_SLOTS {
        let entry = shared.platform.get(&Keys::slot(slot)).await?;
        versions[slot] = entry.as_ref().map_or(Version(0), |entry| entry.version);
        seen[slot] = slot_seen(entry.as_ref(), fence);
    }
    *keys.lock() = Seen { fence, versions };
    Ok(Event::Slots(seen))
}

fn slot_seen(entry: Option<&Entry>, fence: Fence) -> SlotState {
    let Some(entry) = entry else {
        return SlotState::Free;
    };
    match entry.value.as_deref() {
        None if entry.version == Version(0) => SlotState::Free,
        None => SlotState::Expired,
        Some(FREE) => SlotState::Free,
        Some(value) if value == fence.to_string() => SlotState::Own,
        Some(_) => SlotState::Held,
    }
}

/// Expects the slot as it was read: one that was used and lapsed since must be waited for again.
async fn take_slot(shared: &Shared, keys: &Keys, slot: usize, lease: Fence) -> Event {
    let expect = keys.lock().versions[slot];
    let put = Put {
        key: Keys::slot(slot),
        value: Some(lease.to_string()),
        expect,
        lease: Some(lease.0),
    };
    match shared.platform.put(&put).await {
        Ok(Written::Done(_)) => Event::SlotTaken(slot),
        Ok(Written::Conflict(_)) | Err(_) => Event::SlotFailed(slot),
    }
}

/// `None` if the platform did not answer; the holder asks again.
async fn free_slot(shared: &Shared, keys: &Keys, slot: usize) -> Option<Event> {
    let own = keys.lock().fence.to_string();
    let entry = shared.platform.get(&Keys::slot(slot)).await.ok()?;
    let Some(entry) = entry.filter(|entry| entry.value.as_deref() == Some(own.as_str())) else {
        return Some(Event::SlotFreed(slot));
    };
    let put = Put {
        key: Keys::slot(slot),
        value: Some(FREE.to_owned()),
        expect: entry.version,
        lease: None,
    };
    match shared.platform.put(&put).await {
        Ok(Written::Done(_)) => Some(Event::SlotFreed(slot)),
        Ok(Written::Conflict(_)) | Err(_) => None,
    }
}
