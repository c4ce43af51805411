//! Executes the steps of this failure domain's order holder: calls to the platform, orders to engines.
//!
//! The holder is a state machine of the `control` crate and changes on the control thread only. Each step runs as a
//! task of its own and returns its outcome as an event, so that a slow platform does not block the control thread.

mod engine_calls;
mod platform_calls;

use crate::control::{Event, send};
use crate::shared::Shared;
use async_std::task;
use control::orders::{self, Assignment, OrderHolder, Runner, Step};
use futures::future::{AbortHandle, abortable};
use ids::{EndpointId, Fence};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use platform_calls::Keys;

/// This router's order holder and its calls in progress.
pub struct Orders {
    shared: Arc<Shared>,
    holder: Arc<Mutex<OrderHolder>>,
    keys: Arc<Keys>,
    calls: Vec<AbortHandle>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
}

impl Orders {
    /// Creates a holder without a lease or assignments.
    pub fn new(shared: Arc<Shared>) -> Self {
        let keys = Arc::new(Keys::new(&shared.settings.domain));
        Self {
            shared,
            holder: Arc::default(),
            keys,
            calls: Vec::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Sets the weights assigned to runners, and the addresses of the runners.
    pub fn configure(&mut self, assignments: Vec<Assignment>, addresses: BTreeMap<EndpointId, SocketAddr>) {
        self.addresses = addresses;
        self.on(orders::Event::Assignments(assignments));
    }

    /// Updates the last reported state of runners.
    pub fn set_runners(&mut self, runners: Vec<Runner>) {
        self.on(orders::Event::Runners(runners));
    }

    /// Handles an event of the order holder.
    pub fn on(&mut self, event: orders::Event) {
        let steps = lock(&self.holder).on(event, self.shared.clock.now());
        for step in steps {
            self.execute(step);
        }
    }

    /// The fencing number of the order lease, if this router holds it.
    pub fn fence(&self) -> Option<Fence> {
        lock(&self.holder).fence()
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Abandon => self.abandon(),
            Step::Report(blocked) => log::warn!("order not sent: {blocked}"),
            Step::Send { endpoint, order } => self.send(endpoint, order),
            step => {
                let (shared, keys) = (self.shared.clone(), self.keys.clone());
                task::spawn(async move {
                    if let Some(event) = platform_calls::execute(&shared, &keys, step).await {
                        send(&shared, Event::Orders(event)).await;
                    }
                });
            }
        }
    }

    fn send(&mut self, endpoint: EndpointId, order: wire::engine::Order) {
        let Some(to) = self.addresses.get(&endpoint).copied() else {
            return;
        };
        log::info!(endpoint = endpoint.as_str(), fence = order.fence.0; "sending order");
        let (shared, holder) = (self.shared.clone(), self.holder.clone());
        let clock = self.shared.clock;
        let checked = endpoint.clone();
        let may_send = move || lock(&holder).may_send(&checked, clock.now());
        let (call, handle) = abortable(async move {
            let event = engine_calls::send(&shared, endpoint, to, &order, may_send).await;
            send(&shared, Event::Orders(event)).await;
        });
        task::spawn(call);
        self.calls.retain(|call| !call.is_aborted());
        self.calls.push(handle);
    }

    fn abandon(&mut self) {
        for call in self.calls.drain(..) {
            call.abort();
        }
    }
}

fn lock(holder: &Mutex<OrderHolder>) -> MutexGuard<'_, OrderHolder> {
    holder.lock().unwrap_or_else(PoisonError::into_inner)
}
