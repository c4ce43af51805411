//! Follows the store: reads all, then waits for changes, and tells the control thread.
//!
//! Each answer also proves how fresh the document is, so a watch never waits long: a router that hears nothing for
//! longer than the bound on revoked keys has to refuse. A short wait also shows a connection that has gone silent.

mod prefixes;

pub use prefixes::follow_prefixes;

use crate::control::{Event, send};
use crate::shared::Shared;
use async_std::task;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::items::{Client, ItemsError, Watched};

/// How long a watch waits: a third of the bound on revoked keys (5 s at the sites), so that one lost answer is made up
/// for in time.
const WAIT: Duration = Duration::from_millis(1_500);
/// How much longer its answer may take: the store's slowest answers at the sites take 0.3 s.
const GRACE: Duration = Duration::from_millis(800);
/// Longest wait for a page of the first read.
const READ: Duration = Duration::from_millis(2_000);
/// First wait after a failed call, doubled with each further one.
const AGAIN: Duration = Duration::from_millis(50);
/// Longest wait after a failed call: a router out of touch is back within this time after the store is.
const AGAIN_MOST: Duration = Duration::from_millis(400);

/// Follows all keys under a prefix until the process ends.
pub async fn follow(shared: Arc<Shared>, prefix: &'static str) {
    let mut feed = Feed::new(shared, prefix);
    loop {
        let result = feed.step().await;
        match result {
            Ok(()) => feed.failures = 0,
            Err(err) => feed.failed(&err).await,
        }
    }
}

struct Feed {
    shared: Arc<Shared>,
    prefix: &'static str,
    address: SocketAddr,
    client: Client,
    /// Store revision to go on from; absent until all was read.
    revision: Option<u64>,
    failures: u32,
}

impl Feed {
    fn new(shared: Arc<Shared>, prefix: &'static str) -> Self {
        let address = shared.settings.load().store;
        let client = Client::new(address, shared.dialect.store);
        Self {
            shared,
            prefix,
            address,
            client,
            revision: None,
            failures: 0,
        }
    }

    async fn step(&mut self) -> Result<(), ItemsError> {
        self.move_along();
        match self.revision {
            None => self.read().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    /// Takes over another address of the store after a reload.
    fn move_along(&mut self) {
        let address = self.shared.settings.load().store;
        if address != self.address {
            log::info!(from:% = self.address, to:% = address; "store: another address");
            self.address = address;
            self.client = Client::new(address, self.shared.dialect.store);
        }
    }

    async fn read(&mut self) -> Result<(), ItemsError> {
        let sent = self.shared.clock.now();
        let read = self.client.all(self.prefix, READ).await;
        self.count("range", read.is_ok());
        let (items, revision) = read?;
        self.revision = Some(revision);
        send(&self.shared, Event::Read { items, sent }).await;
        Ok(())
    }

    async fn watch(&mut self, revision: u64) -> Result<(), ItemsError> {
        let sent = self.shared.clock.now();
        let watched = self.client.watch(self.prefix, revision, WAIT, GRACE).await;
        self.count("watch", watched.is_ok());
        match watched? {
            Watched::Changes(changes) => {
                self.revision = Some(changes.revision.max(revision));
                let changes = changes.changes;
                send(&self.shared, Event::Changed { changes, sent }).await;
            }
            Watched::Forgotten => {
                log::warn!(revision = revision; "store: history forgotten, reading all again");
                self.revision = None;
            }
        }
        Ok(())
    }

    fn count(&self, call: &str, done: bool) {
        let outcome = if done { "ok" } else { "failed" };
        let calls = &self.shared.metrics.store;
        calls.with_label_values(&[call, outcome]).inc();
    }

    async fn failed(&mut self, err: &ItemsError) {
        if self.failures == 0 {
            log::warn!(why:% = err; "store: lost");
        }
        self.failures += 1;
        send(&self.shared, Event::StoreFailed).await;
        let most = (AGAIN * 2_u32.saturating_pow(self.failures - 1)).min(AGAIN_MOST);
        let share = rand::rng().random_range(0.5..1.0);
        task::sleep(most.mul_f64(share)).await;
    }
}
