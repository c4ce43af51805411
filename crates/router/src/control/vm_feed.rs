//! Follows the platform's list of live and leaving VMs.

use super::Event;
use crate::shared::Shared;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// How often the list is read: an endpoint must get no new work within 3 s of the list's word, and one read may fail.
const EVERY: Duration = Duration::from_millis(1_400);

/// Runs until the control thread has gone.
pub async fn run(shared: Arc<Shared>) {
    loop {
        if let Ok(list) = shared.platform.vms().await
            && !list.vms.is_empty()
            && shared.events.send(Event::Vms(list)).await.is_err()
        {
            return;
        }
        task::sleep(EVERY).await;
    }
}
