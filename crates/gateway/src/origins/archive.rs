//! Writes the origins of streams to the store, and reads them, so that they outlive a power loss of all routers.
//!
//! Load pattern: while several versions of a service's software serve, every router begins streams. A few of the routers collect the
//! origins of all and write them in batches, so that the number of writes depends neither on the number of streams nor on
//! that of routers. Leases remove them once no client can return.

use crate::shared::Shared;
use async_std::task;
use control::rendezvous;
use dispatch::origins::{Origin, RETENTION, StreamKey};
use ids::VmId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use store::items::{Client, CommitOutcome, Item, ItemsError, Transaction, Write};

/// Key prefix of origins, followed by the router that wrote them and a number.
pub const ORIGINS_PREFIX: &str = "apricotfork/origins/";
/// Routers that write origins.
const ARCHIVISTS: usize = 3;
/// Time in which origins are collected before a write.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Pause between writes of one router. A power loss takes the origins since the last write with it.
const WRITE_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which new keys are written under one lease.
const LEASE_TIME: Duration = Duration::from_secs(10);
/// Time to live of a lease: its last keys live as long as a client may take to return.
const LEASE_TTL: Duration = Duration::from_secs(LEASE_TIME.as_secs() + RETENTION.as_secs() + 5);
/// Origins in one value, about 100 KB.
const MAX_ORIGINS: usize = 4_000;
/// Longest wait for a response of the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Streams by their origins, as written to the store.
type Batch = Vec<(Origin, Vec<StreamKey>)>;

/// The routers that write origins.
pub(super) fn archivists(routers: &[VmId]) -> Vec<VmId> {
    let chosen = rendezvous::choose("origins", routers, ARCHIVISTS);
    chosen.into_iter().cloned().collect()
}

/// The one of them that writes the origin of a stream.
pub(super) fn archivist(stream: StreamKey, archivists: &[VmId]) -> Option<&VmId> {
    rendezvous::choose(&stream.to_string(), archivists, 1).pop()
}

/// Queues an origin that this router writes.
pub(super) fn queue(shared: &Shared, stream: StreamKey, origin: &Origin) {
    if shared.origin_archive.0.try_send((stream, origin.clone())).is_err() {
        log::debug!(stream:% = stream; "stream: too many origins to write");
    }
}

/// Records the origins in an item of the store.
pub fn read(shared: &Shared, item: &Item) {
    let batch: Batch = match serde_json::from_slice(&item.value) {
        Ok(batch) => batch,
        Err(err) => {
            log::error!(key = item.key.as_str(), why:% = err; "stream: cannot parse recorded origins");
            return;
        }
    };
    let now = shared.clock.now();
    let mut origins = shared.origins();
    for (origin, streams) in batch {
        for stream in streams {
            origins.record(stream, origin.clone(), now);
        }
    }
}

/// Writes origins until the process exits.
pub async fn archive_origins(shared: Arc<Shared>) {
    let mut archive = Archive::new(&shared);
    let mut streams: HashMap<StreamKey, Origin> = HashMap::new();
    loop {
        if streams.is_empty()
            && let Ok((stream, origin)) = shared.origin_archive.1.recv().await
        {
            streams.insert(stream, origin);
        }
        task::sleep(BATCH_DELAY).await;
        while streams.len() < MAX_ORIGINS
            && let Ok((stream, origin)) = shared.origin_archive.1.try_recv()
        {
            streams.insert(stream, origin);
        }
        match archive.write(&shared, &streams).await {
            Ok(()) => streams.clear(),
            Err(err) => log::warn!(streams = streams.len(), why:% = err; "stream: cannot write origins"),
        }
        task::sleep(WRITE_PAUSE).await;
    }
}

struct Archive {
    /// Distinguishes the keys of this process from those of an earlier one of the same VM.
    name: String,
    number: u64,
    /// The lease of new keys, and when it was requested.
    lease: Option<(u64, Duration)>,
}

impl Archive {
    fn new(shared: &Shared) -> Self {
        let vm = &shared.settings.load().vm;
        Self {
            name: format!("{ORIGINS_PREFIX}{vm}/{:08x}", rand::random::<u32>()),
            number: 0,
            lease: None,
        }
    }

    async fn write(&mut self, shared: &Shared, streams: &HashMap<StreamKey, Origin>) -> Result<(), ItemsError> {
        let client = Client::new(shared.settings.load().store, shared.dialect.store);
        let lease = self.lease(shared, &client).await?;
        let transaction = Transaction {
            expected: Vec::new(),
            writes: vec![Write {
                // A write whose response was lost is repeated under the same key.
                key: format!("{}/{}", self.name, self.number),
                value: serde_json::to_vec(&by_origin(streams)).expect("strings and numbers always serialize"),
                lease,
            }],
        };
        let committed = client.commit(&transaction, CALL_TIMEOUT).await;
        shared.metrics.count_store_call("origins", committed.is_ok());
        if committed? == CommitOutcome::NoLease {
            self.lease = None;
            return Err(ItemsError::Refused(404));
        }
        self.number += 1;
        Ok(())
    }

    async fn lease(&mut self, shared: &Shared, client: &Client) -> Result<u64, ItemsError> {
        let now = shared.clock.now();
        if let Some((lease, _)) = self.lease.filter(|(_, at)| now.saturating_sub(*at) < LEASE_TIME) {
            return Ok(lease);
        }
        let granted = client.grant(LEASE_TTL, CALL_TIMEOUT).await;
        shared.metrics.count_store_call("grant", granted.is_ok());
        let lease = granted?.lease;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}

fn by_origin(streams: &HashMap<StreamKey, Origin>) -> Batch {
    let mut batch: Batch = Vec::new();
    for (stream, origin) in streams {
        match batch.iter_mut().find(|(known, _)| known == origin) {
            Some((_, keys)) => keys.push(*stream),
            None => batch.push((origin.clone(), vec![*stream])),
        }
    }
    batch
}
