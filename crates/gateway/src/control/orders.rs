//! Acquires and renews the order lease, and schedules the lease holder's orders.

use super::{Control, Event, HOLDER_KEY, LOAD_LIST_KEY, lock, send};
use crate::dialect::{LoadList, LoadedWeights};
use crate::orders;
use crate::shared::Shared;
use async_std::task;
use dispatch::holder::{self, HANDOVER_SLACK, Step, created};
use dispatch::rollout::{LoadCandidate, plan_loads, sort_by_load_order};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Fence, ModelId};
use std::sync::Arc;
use std::time::Duration;
use store::items::{Client, CommitOutcome, ItemsError, Transaction, Write};

/// Time in which changes of the load list are collected into one write. Each write is sent to every router that watches
/// the store, and is billed.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Lease id of an item without a lease.
const NO_LEASE: u64 = 0;
/// Longest wait for the response to a call about the lease: twice the store's longest response time.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// A pending write of the load list.
#[derive(Debug, Default)]
pub(super) struct ListWrite {
    /// Whether a write is in progress.
    in_progress: bool,
    /// Whether the list has changed since that write began.
    changed: bool,
    /// When the write was sent.
    sent_at: Duration,
    /// Loads that start when this write is done.
    pending: Vec<(EndpointId, ModelId)>,
    /// Loads that start with the next write.
    next: Vec<(EndpointId, ModelId)>,
    /// Endpoints that load after those.
    upcoming: Vec<EndpointId>,
}

impl Control {
    pub(super) fn on_holder_event(&mut self, event: holder::Event) {
        let now = self.shared.clock.now();
        let before = self.lock_holder().lease();
        let step = self.lock_holder().on(event, now);
        let after = self.lock_holder().lease();
        if before != after {
            log::info!(holds = after.is_some(); "orders: lease changed");
            self.own_list = LoadList::default();
            self.loading.clear();
            self.load_ends.clear();
            self.list_write = ListWrite::default();
            self.list_sent.clear();
            self.queue_loads(now);
        }
        if let Some(step) = step {
            self.run_step(step);
        }
    }

    fn run_step(&self, step: Step) {
        let (shared, name) = (self.shared.clone(), self.holder_name.clone());
        task::spawn(async move {
            let client = Client::new(shared.settings.load().store, shared.dialect.store);
            match step {
                Step::Acquire(ttl) => acquire(&shared, &client, name, ttl).await,
                Step::Renew(lease) => renew(&shared, &client, lease).await,
                // A lease that is not released expires by itself.
                Step::Release(lease) => drop(client.release(lease, CALL_TIMEOUT).await),
            }
        });
    }

    pub(super) fn queue_loads(&mut self, now: Duration) {
        if self.lock_holder().may_order(now).is_none() {
            return;
        }
        let targets: Vec<(ModelId, u64)> = {
            let fleet = self.shared.fleet();
            fleet
                .targets()
                .map(|(model, weights)| (model.clone(), weights))
                .collect()
        };
        self.list_write.upcoming.clear();
        for (model, weights) in targets {
            let runners = self.load_candidates(&model);
            let delay = self.shared.settings.load().bounds.turn() + HANDOVER_SLACK;
            let free: Vec<LoadCandidate> = runners
                .into_iter()
                .filter(|runner| self.turns.may_order(&runner.endpoint, delay, now))
                .filter(|runner| self.load_backoff.may_load(&runner.endpoint, now))
                .collect();
            let plan = plan_loads(&free, weights, &self.loading);
            self.list_write.upcoming.extend(plan.upcoming);
            for endpoint in plan.begin {
                self.loading.insert(endpoint.clone());
                self.list_write.next.push((endpoint, model.clone()));
            }
        }
        if !self.list_write.next.is_empty() {
            self.schedule_list_write();
        }
    }

    fn load_candidates(&self, model: &ModelId) -> Vec<LoadCandidate> {
        let fleet = self.shared.fleet();
        let runner = |entry: &Arc<EndpointEntry>| {
            let weights = fleet.weights(&entry.id, model)?;
            Some(LoadCandidate {
                endpoint: entry.id.clone(),
                weights,
                draining: entry.draining,
            })
        };
        let mut runners: Vec<LoadCandidate> = self.roster.all().filter_map(runner).collect();
        sort_by_load_order(&mut runners);
        runners
    }

    fn start_load(&mut self, endpoint: EndpointId, model: ModelId) {
        let Some(entry) = self.roster.get(&endpoint).cloned() else {
            return self.load_ended(endpoint, None);
        };
        let load = orders::LoadTask {
            shared: self.shared.clone(),
            holder: self.holder.clone(),
            fence: self.own_list.fence,
            list_sent: self.list_sent.clone(),
            holder_name: self.holder_name.clone(),
            entry,
            model,
        };
        task::spawn(load.run());
    }

    pub(super) fn load_ended(&mut self, endpoint: EndpointId, loaded: Option<LoadedWeights>) {
        if !self.loading.remove(&endpoint) {
            return;
        }
        let now = self.shared.clock.now();
        self.load_ends.insert(endpoint.clone(), now);
        match loaded {
            Some(loaded) => {
                self.own_list.loaded.retain(|known| known.endpoint != endpoint);
                self.own_list.loaded.push(loaded);
            }
            // The load failed because this router lost the order lease, so the endpoint needs no backoff.
            None if self.lock_holder().may_order(now).is_none() => {}
            None => self.load_backoff.record_failure(endpoint, now),
        }
        self.queue_loads(now);
        self.schedule_list_write();
    }

    /// Schedules a write of the load list, which tells all routers which endpoints load. Without the list, routers
    /// would send requests to loading endpoints, which reject them, and some requests may not be sent to a second
    /// endpoint. Writes are sequential, so that an older list never replaces a newer one.
    pub(super) fn schedule_list_write(&mut self) {
        if self.list_write.in_progress {
            self.list_write.changed = true;
            return;
        }
        self.list_write.in_progress = true;
        let shared = self.shared.clone();
        task::spawn(async move {
            task::sleep(BATCH_DELAY).await;
            send(&shared, Event::WriteLoadList).await;
        });
    }

    /// Drops loads of endpoints that another holder may have ordered, according to load lists that arrived after the
    /// endpoints were selected. Two orders within the handover delay could undo each other.
    fn drop_foreign_ordered(&mut self, delay: Duration, now: Duration) {
        let (turns, loading) = (&self.turns, &mut self.loading);
        self.list_write.next.retain(|(endpoint, _)| {
            let free = turns.may_order(endpoint, delay, now);
            if !free {
                loading.remove(endpoint);
            }
            free
        });
    }

    /// Writes the current load list.
    pub(super) fn write_load_list(&mut self) {
        let now = self.shared.clock.now();
        if !self.list_write.in_progress {
            return;
        }
        let fence = self.lock_holder().may_order(now);
        let Some(fence) = fence else {
            // Loads that were never published do not start. The next check selects them again.
            for (endpoint, _) in std::mem::take(&mut self.list_write).next {
                self.loading.remove(&endpoint);
            }
            return;
        };
        let delay = self.shared.settings.load().bounds.turn() + HANDOVER_SLACK;
        self.drop_foreign_ordered(delay, now);
        self.load_ends.retain(|_, at| now.saturating_sub(*at) < delay);
        self.own_list.fence = fence;
        self.own_list.loading = self.loading.iter().cloned().collect();
        self.own_list.upcoming.clone_from(&self.list_write.upcoming);
        self.own_list.recent = self.load_ends.keys().cloned().collect();
        let before = self.turns.recent(delay, now);
        self.own_list.foreign = before.map(|(id, age)| (id.clone(), age.as_millis() as u64)).collect();
        let mut loaded = std::mem::take(&mut self.own_list.loaded);
        loaded.retain(|loaded| self.is_current_incarnation(loaded));
        self.own_list.loaded = loaded;
        self.apply_load_list(self.own_list.clone());
        self.list_write.changed = false;
        self.list_write.sent_at = now;
        self.list_write.pending = std::mem::take(&mut self.list_write.next);
        let value = serde_json::to_vec(&self.own_list).expect("a list of names always serializes");
        let shared = self.shared.clone();
        task::spawn(async move {
            let committed = write_as_holder(&shared, fence, LOAD_LIST_KEY, value).await;
            shared.metrics.count_store_call("tell", committed.is_ok());
            if let Err(err) = &committed {
                log::warn!(why:% = err; "orders: cannot write the load list");
            }
            let done = matches!(committed, Ok(CommitOutcome::Done(_)));
            send(&shared, Event::LoadListWritten { fence, done }).await;
        });
    }

    /// Starts the loads that the written list contains. Only listed endpoints may receive orders.
    pub(super) fn load_list_written(&mut self, fence: Fence, done: bool) {
        let own = fence == self.own_list.fence;
        if !own || !std::mem::take(&mut self.list_write.in_progress) {
            return;
        }
        if done {
            self.list_sent.set(self.list_write.sent_at);
        }
        for (endpoint, model) in std::mem::take(&mut self.list_write.pending) {
            if done {
                self.start_load(endpoint, model);
            } else {
                self.loading.remove(&endpoint);
            }
        }
        if std::mem::take(&mut self.list_write.changed) {
            self.schedule_list_write();
        }
    }

    pub(super) fn probe(&self, now: Duration) {
        let due = self.shared.fleet().due_probes(now);
        for entry in due {
            task::spawn(orders::probe(self.shared.clone(), entry));
        }
    }
}

/// Writes a key without a lease, on condition that the order lease with this fencing token is still held.
pub(super) async fn write_as_holder(
    shared: &Shared,
    fence: Fence,
    key: &str,
    value: Vec<u8>,
) -> Result<CommitOutcome, ItemsError> {
    let client = Client::new(shared.settings.load().store, shared.dialect.store);
    let transaction = Transaction {
        expected: vec![(HOLDER_KEY.to_owned(), created(fence))],
        writes: vec![Write {
            key: key.to_owned(),
            value,
            lease: NO_LEASE,
        }],
    };
    client.commit(&transaction, CALL_TIMEOUT).await
}

async fn acquire(shared: &Shared, client: &Client, name: String, ttl: Duration) {
    let requested = shared.clock.now();
    let granted = client.grant(ttl, CALL_TIMEOUT).await;
    shared.metrics.count_store_call("grant", granted.is_ok());
    let Ok(granted) = granted else {
        send(shared, Event::Holder(holder::Event::Failed)).await;
        return;
    };
    let lease = granted.lease;
    let ttl = granted.ttl;
    send(shared, Event::Holder(holder::Event::Granted { lease, ttl, requested })).await;
    let transaction = Transaction {
        expected: vec![(HOLDER_KEY.to_owned(), 0)],
        writes: vec![Write {
            key: HOLDER_KEY.to_owned(),
            value: name.into_bytes(),
            lease,
        }],
    };
    let committed = client.commit(&transaction, CALL_TIMEOUT).await;
    shared.metrics.count_store_call("claim", committed.is_ok());
    // The watch reports a successful claim together with its fencing token. This includes a write whose response was
    // lost.
    let is_unknown = matches!(committed, Err(ItemsError::Lost(_) | ItemsError::TooLong(_)));
    if is_unknown || matches!(committed, Ok(CommitOutcome::Done(_))) {
        return;
    }
    send(shared, Event::Holder(holder::Event::Failed)).await;
    drop(client.release(lease, CALL_TIMEOUT).await);
}

async fn renew(shared: &Shared, client: &Client, lease: u64) {
    let requested = shared.clock.now();
    let renewed = client.renew(lease, CALL_TIMEOUT).await;
    shared.metrics.count_store_call("renew", renewed.is_ok());
    let event = match renewed {
        Ok(Some(ttl)) => holder::Event::Renewed { ttl, requested },
        Ok(None) => holder::Event::LeaseExpired(lease),
        // The lease remains valid until it expires by this router's clock.
        Err(_) => return,
    };
    send(shared, Event::Holder(event)).await;
}

/// The fencing token, if an order may be sent now.
pub(crate) fn may_order(holder: &std::sync::Mutex<holder::Holder>, now: Duration) -> Option<Fence> {
    lock(holder).may_order(now)
}
