//! Polls the platform's list of live and leaving VMs.

use super::Event;
use crate::shared::Shared;
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Read interval: an endpoint must get no new requests within 3 s of being listed as leaving, and one read may fail.
const READ_INTERVAL: Duration = Duration::from_millis(1_400);

/// Runs until the control thread has ended.
pub async fn run(shared: Arc<Shared>) {
    loop {
        if let Ok(list) = shared.platform.vms().await
            && !list.vms.is_empty()
            && shared.events.send(Event::Vms(list)).await.is_err()
        {
            return;
        }
        task::sleep(READ_INTERVAL).await;
    }
}
