//! The control thread's part in holding the right to give orders, and in giving them.

use super::{Control, Event, HOLDER_KEY, HOLDING_KEY, lock, send};
use crate::dialect::{Holding, Loaded};
use crate::orders;
use crate::shared::Shared;
use async_std::task;
use dispatch::holder::{self, HANDOVER_SLACK, Step, created};
use dispatch::rollout::{LoadCandidate, plan_loads, sort_by_load_order};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, Fence, ModelId};
use std::sync::Arc;
use std::time::Duration;
use store::items::{Client, Committed, ItemsError, Transaction, Write};

/// Time in which changes of the list are gathered: each write is answered to the watch of every router, and priced.
const GATHER: Duration = Duration::from_millis(40);
/// Stands for no lease.
const NO_LEASE: u64 = 0;
/// Longest wait for an answer to a call about the lease: twice the store's slowest answers.
const CALL: Duration = Duration::from_millis(600);

/// The holder's list on its way into the store.
#[derive(Debug, Default)]
pub(super) struct Telling {
    /// Whether a write is under way.
    under_way: bool,
    /// Whether the list has changed since.
    again: bool,
    /// When that write left.
    sent: Duration,
    /// Loads that begin once that write is done.
    told: Vec<(EndpointId, ModelId)>,
    /// Loads that begin with the next write.
    begin: Vec<(EndpointId, ModelId)>,
    /// Endpoints that come next.
    coming: Vec<EndpointId>,
}

impl Control {
    pub(super) fn holder_event(&mut self, event: holder::Event) {
        let now = self.shared.clock.now();
        let before = self.lock_holder().lease();
        let step = self.lock_holder().on(event, now);
        let after = self.lock_holder().lease();
        if before != after {
            log::info!(holds = after.is_some(); "orders: the right to give them changed");
            self.holding = Holding::default();
            self.loading.clear();
            self.ended.clear();
            self.telling = Telling::default();
            self.listed.clear();
            self.give_orders(now);
        }
        if let Some(step) = step {
            self.carry_out(step);
        }
    }

    fn carry_out(&self, step: Step) {
        let (shared, name) = (self.shared.clone(), self.holder_name.clone());
        task::spawn(async move {
            let client = Client::new(shared.settings.load().store, shared.dialect.store);
            match step {
                Step::Acquire(ttl) => acquire(&shared, &client, name, ttl).await,
                Step::Renew(lease) => renew(&shared, &client, lease).await,
                // A lease that isn't given back lapses by itself.
                Step::Release(lease) => drop(client.release(lease, CALL).await),
            }
        });
    }

    pub(super) fn give_orders(&mut self, now: Duration) {
        if self.lock_holder().may_order(now).is_none() {
            return;
        }
        let wanted: Vec<(ModelId, u64)> = {
            let fleet = self.shared.fleet();
            fleet
                .wanted()
                .map(|(model, weights)| (model.clone(), weights))
                .collect()
        };
        self.telling.coming.clear();
        for (model, weights) in wanted {
            let runners = self.runners(&model);
            let turn = self.shared.settings.load().bounds.turn() + HANDOVER_SLACK;
            let free: Vec<LoadCandidate> = runners
                .into_iter()
                .filter(|runner| self.turns.may_order(&runner.endpoint, turn, now))
                .filter(|runner| self.postponed.may_load(&runner.endpoint, now))
                .collect();
            let turn = plan_loads(&free, weights, &self.loading);
            self.telling.coming.extend(turn.upcoming);
            for endpoint in turn.begin {
                self.loading.insert(endpoint.clone());
                self.telling.begin.push((endpoint, model.clone()));
            }
        }
        if !self.telling.begin.is_empty() {
            self.tell();
        }
    }

    fn runners(&self, model: &ModelId) -> Vec<LoadCandidate> {
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
        let load = orders::Load {
            shared: self.shared.clone(),
            holder: self.holder.clone(),
            fence: self.holding.fence,
            listed: self.listed.clone(),
            name: self.holder_name.clone(),
            entry,
            model,
        };
        task::spawn(load.run());
    }

    pub(super) fn load_ended(&mut self, endpoint: EndpointId, loaded: Option<Loaded>) {
        if !self.loading.remove(&endpoint) {
            return;
        }
        let now = self.shared.clock.now();
        self.ended.insert(endpoint.clone(), now);
        match loaded {
            Some(loaded) => {
                self.holding.loaded.retain(|known| known.endpoint != endpoint);
                self.holding.loaded.push(loaded);
            }
            // Without the right to order, the failure is this router's.
            None if self.lock_holder().may_order(now).is_none() => {}
            None => self.postponed.record_failure(endpoint, now),
        }
        self.give_orders(now);
        self.tell();
    }

    /// Tells all routers which endpoints load: requests sent there meanwhile would be refused, and some may not be sent
    /// to a second endpoint. One write at a time, so that an older list never comes after a newer one.
    pub(super) fn tell(&mut self) {
        if self.telling.under_way {
            self.telling.again = true;
            return;
        }
        self.telling.under_way = true;
        let shared = self.shared.clone();
        task::spawn(async move {
            task::sleep(GATHER).await;
            send(&shared, Event::Tell).await;
        });
    }

    /// Takes endpoints back that another holder may have ordered, as was heard since they were chosen: two orders within a turn
    /// would undo each other.
    fn leave_alone(&mut self, turn: Duration, now: Duration) {
        let (turns, loading) = (&self.turns, &mut self.loading);
        self.telling.begin.retain(|(endpoint, _)| {
            let free = turns.may_order(endpoint, turn, now);
            if !free {
                loading.remove(endpoint);
            }
            free
        });
    }

    /// Writes the list as it is now.
    pub(super) fn write_list(&mut self) {
        let now = self.shared.clock.now();
        if !self.telling.under_way {
            return;
        }
        let fence = self.lock_holder().may_order(now);
        let Some(fence) = fence else {
            // Loads that were never told of don't begin; the next look begins them anew.
            for (endpoint, _) in std::mem::take(&mut self.telling).begin {
                self.loading.remove(&endpoint);
            }
            return;
        };
        let turn = self.shared.settings.load().bounds.turn() + HANDOVER_SLACK;
        self.leave_alone(turn, now);
        self.ended.retain(|_, at| now.saturating_sub(*at) < turn);
        self.holding.fence = fence;
        self.holding.loading = self.loading.iter().cloned().collect();
        self.holding.coming.clone_from(&self.telling.coming);
        self.holding.recent = self.ended.keys().cloned().collect();
        let before = self.turns.recent(turn, now);
        self.holding.before = before.map(|(id, age)| (id.clone(), age.as_millis() as u64)).collect();
        let mut loaded = std::mem::take(&mut self.holding.loaded);
        loaded.retain(|loaded| self.lives(loaded));
        self.holding.loaded = loaded;
        self.believe(self.holding.clone());
        self.telling.again = false;
        self.telling.sent = now;
        self.telling.told = std::mem::take(&mut self.telling.begin);
        let value = serde_json::to_vec(&self.holding).expect("a list of names is always JSON");
        let transaction = Transaction {
            expected: vec![(HOLDER_KEY.to_owned(), created(fence))],
            writes: vec![Write {
                key: HOLDING_KEY.to_owned(),
                value,
                lease: NO_LEASE,
            }],
        };
        let shared = self.shared.clone();
        task::spawn(async move {
            let client = Client::new(shared.settings.load().store, shared.dialect.store);
            let told = client.commit(&transaction, CALL).await;
            count(&shared, "tell", told.is_ok());
            if let Err(err) = &told {
                log::warn!(why:% = err; "orders: the other routers could not be told");
            }
            let done = matches!(told, Ok(Committed::Done(_)));
            send(&shared, Event::Told { fence, done }).await;
        });
    }

    /// Only what stands in the list may be ordered.
    pub(super) fn told_others(&mut self, fence: Fence, done: bool) {
        let own = fence == self.holding.fence;
        if !own || !std::mem::take(&mut self.telling.under_way) {
            return;
        }
        if done {
            self.listed.told(self.telling.sent);
        }
        for (endpoint, model) in std::mem::take(&mut self.telling.told) {
            if done {
                self.start_load(endpoint, model);
            } else {
                self.loading.remove(&endpoint);
            }
        }
        if std::mem::take(&mut self.telling.again) {
            self.tell();
        }
    }

    pub(super) fn probe(&self, now: Duration) {
        let due = self.shared.fleet().due_probes(now);
        for entry in due {
            task::spawn(orders::probe(self.shared.clone(), entry));
        }
    }
}

async fn acquire(shared: &Shared, client: &Client, name: String, ttl: Duration) {
    let requested = shared.clock.now();
    let granted = client.grant(ttl, CALL).await;
    count(shared, "grant", granted.is_ok());
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
    let committed = client.commit(&transaction, CALL).await;
    count(shared, "claim", committed.is_ok());
    // Success shows by the watch, with the generation number; so does a write whose answer was lost.
    if matches!(committed, Ok(Committed::Done(_)) | Err(ItemsError::Lost(_))) {
        return;
    }
    send(shared, Event::Holder(holder::Event::Failed)).await;
    drop(client.release(lease, CALL).await);
}

async fn renew(shared: &Shared, client: &Client, lease: u64) {
    let requested = shared.clock.now();
    let renewed = client.renew(lease, CALL).await;
    count(shared, "renew", renewed.is_ok());
    let event = match renewed {
        Ok(Some(ttl)) => holder::Event::Renewed { ttl, requested },
        Ok(None) => holder::Event::LeaseExpired(lease),
        // The lease goes on until it ends by the own clock.
        Err(_) => return,
    };
    send(shared, Event::Holder(event)).await;
}

fn count(shared: &Shared, call: &str, done: bool) {
    let outcome = if done { "ok" } else { "failed" };
    shared.metrics.store.with_label_values(&[call, outcome]).inc();
}

/// The generation number, if an order may leave right now.
pub(crate) fn may_order(holder: &std::sync::Mutex<holder::Holder>, now: Duration) -> Option<Fence> {
    lock(holder).may_order(now)
}
