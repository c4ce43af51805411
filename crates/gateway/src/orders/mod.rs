//! Calls of the lease holder to endpoints: reports, orders, and probes of failed endpoints.

use crate::connections::{CallConnection, call_once, call_over, open};
use crate::control::orders::may_order;
use crate::control::{Event, send};
use crate::dialect::{LoadedWeights, OrderResponse, WeightsOrder};
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::task;
use dispatch::fleet::Outcome;
use dispatch::holder::{Holder, list_is_current};
use dispatch::loading::{Loading, Next, ORDER_TIMEOUT, OrderOutcome};
use dispatch::rollout::{Report, SentOrder};
use dispatch::site::EndpointEntry;
use http::raw::{ExchangeError, Headers, Source, connect};
use ids::{Fence, ModelId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for the other routers to learn that an endpoint is about to load, before it receives the order. They read the
/// store again 200 ms after the last change.
const PROPAGATION_DELAY: Duration = Duration::from_millis(220);
/// Longest wait for a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks whether the load list is in the store.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for one load. A successful load takes less than two seconds. After this time the next endpoint may
/// load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Task that makes one endpoint load the newest weights of a model.
pub struct LoadTask {
    /// State of this router.
    pub shared: Arc<Shared>,
    /// State of the order lease.
    pub holder: Arc<Mutex<Holder>>,
    /// Fencing token under which the endpoint was listed. Under another token it may be missing from the load list.
    pub fence: Fence,
    /// When the load list in the store was sent.
    pub list_sent: Arc<ListSentAt>,
    /// Name of this lease holder.
    pub holder_name: String,
    /// The endpoint.
    pub entry: Arc<EndpointEntry>,
    /// The model.
    pub model: ModelId,
}

/// When the load list that the store holds now was sent; zero if it holds none of this holder.
#[derive(Debug, Default)]
pub struct ListSentAt(AtomicU64);

impl ListSentAt {
    /// The store holds the load list that was sent at this time.
    pub fn set(&self, sent: Duration) {
        self.0.store(sent.as_millis() as u64, Ordering::SeqCst);
    }

    /// The store holds no load list of this holder.
    pub fn clear(&self) {
        self.0.store(0, Ordering::SeqCst);
    }

    fn sent(&self) -> Option<Duration> {
        let sent = self.0.load(Ordering::SeqCst);
        (sent > 0).then(|| Duration::from_millis(sent))
    }
}

impl LoadTask {
    /// Sends orders and reads reports until the newest weights are loaded or the time is over.
    pub async fn run(self) {
        task::sleep(PROPAGATION_DELAY).await;
        let loaded = timeout(LOAD_TIMEOUT, self.run_steps()).await.unwrap_or_default();
        let loaded = loaded.map(|weights| LoadedWeights {
            endpoint: self.entry.id.clone(),
            incarnation: self.entry.incarnation,
            model: self.model.clone(),
            weights,
        });
        if loaded.is_none() {
            log::warn!(endpoint = self.entry.id.as_str(); "orders: load timed out or could not start");
        }
        let endpoint = self.entry.id.clone();
        send(&self.shared, Event::LoadEnded { endpoint, loaded }).await;
    }

    /// The weights that are loaded at the end; none if this router may no longer send orders.
    async fn run_steps(&self) -> Option<u64> {
        let mut loading = Loading::default();
        let mut connection = CallConnection::to_endpoint(self.entry.address);
        loop {
            let target = self.target()?;
            self.may_order()?;
            let report = self.report(&mut connection).await;
            let mut next = loading.on_report(report, target, self.shared.clock.now());
            if let Next::Order { expected } = next {
                next = if self.ensure_listed().await {
                    let (sent, outcome) = self.order(target, expected).await?;
                    loading.on_outcome(sent, outcome)
                } else {
                    loading.on_list_failure()
                };
            }
            match next {
                Next::Done(weights) => return Some(weights),
                Next::Stop => return None,
                Next::Poll(pause) => task::sleep(pause).await,
                Next::Order { .. } => {}
            }
        }
    }

    /// The fencing token, while this task may send orders.
    fn may_order(&self) -> Option<Fence> {
        let fence = may_order(&self.holder, self.shared.clock.now());
        fence.filter(|fence| *fence == self.fence)
    }

    /// Whether the load list in the store is recent enough for an order. Requests a new write and waits for it if it is
    /// not.
    async fn ensure_listed(&self) -> bool {
        let is_recent = || list_is_current(self.list_sent.sent(), self.shared.clock.now());
        if is_recent() {
            return true;
        }
        send(&self.shared, Event::RefreshLoadList).await;
        let refreshed = async {
            while !is_recent() {
                task::sleep(LIST_POLL_INTERVAL).await;
            }
        };
        timeout(CALL_TIMEOUT, refreshed).await.is_ok()
    }

    fn target(&self) -> Option<u64> {
        let fleet = self.shared.fleet();
        let target = fleet.targets().find(|(model, _)| **model == self.model);
        target.map(|(_, weights)| weights)
    }

    async fn report(&self, connection: &mut CallConnection) -> Option<Report> {
        let call = (self.shared.dialect.report_call)();
        let (status, body) = connection.call(&call, &Headers::default(), CALL_TIMEOUT).await.ok()?;
        if status != 200 {
            return None;
        }
        match (self.shared.dialect.parse_report)(&body, &self.model) {
            Ok(report) => Some(report),
            Err(err) => {
                log::warn!(endpoint = self.entry.id.as_str(), why:% = err; "orders: cannot parse a report");
                None
            }
        }
    }

    /// Sends an order. `None` if this router may no longer send orders.
    async fn order(&self, weights: u64, expected: u64) -> Option<(SentOrder, OrderOutcome)> {
        let at = self.shared.clock.now();
        let fence = self.may_order()?;
        let order = WeightsOrder {
            endpoint: &self.entry.id,
            model: &self.model,
            weights,
            expected,
            holder: &self.holder_name,
            fence,
        };
        let (call, headers) = (self.shared.dialect.order_call)(&order);
        let response = call_once(self.entry.address, &call, &headers, ORDER_TIMEOUT).await;
        let outcome = match &response {
            Ok((status, _)) => match (self.shared.dialect.order_response)(*status) {
                OrderResponse::Accepted | OrderResponse::AlreadyApplied => OrderOutcome::Accepted,
                OrderResponse::Conflict => OrderOutcome::Conflict,
                // Another endpoint uses this address now, or this endpoint will never accept the order.
                OrderResponse::Refused => OrderOutcome::Rejected,
            },
            Err(ExchangeError::NotSent) => OrderOutcome::Conflict,
            Err(_) => OrderOutcome::Unanswered,
        };
        let status = response.map_or(0, |(status, _)| status);
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&[outcome_label(outcome)]).inc();
        log::info!(
            endpoint = self.entry.id.as_str(),
            model = self.model.as_str(),
            weights = weights,
            expected = expected,
            fence = fence.0,
            status = status,
            outcome = outcome_label(outcome);
            "orders: sent"
        );
        Some((SentOrder { expected, weights, at }, outcome))
    }
}

fn outcome_label(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Accepted => "taken",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Rejected => "refused",
    }
}

/// Checks whether a failed endpoint responds again.
pub async fn probe(shared: Arc<Shared>, entry: Arc<EndpointEntry>) {
    let sent = shared.clock.now();
    let call = (shared.dialect.report_call)();
    let response = async {
        let source = probe_connection(&shared, &entry).await?;
        call_over(source, entry.address, &call, &Headers::default(), CALL_TIMEOUT).await
    };
    let response = response.await;
    let now = shared.clock.now();
    let outcome = match response {
        Ok((200, _)) => Outcome::Answered(now.saturating_sub(sent)),
        Ok(_) => Outcome::Declined,
        Err(ExchangeError::NotSent) => Outcome::ConnectFailed,
        Err(_) => Outcome::Broken,
    };
    shared.fleet().record_probe(&entry.id, outcome, now);
}

/// A connection to a failed endpoint. It is tunnelled only if this router has lost paths. Otherwise the endpoint is
/// probably down, and probes of all routers would be multiplied.
async fn probe_connection(shared: &Shared, entry: &EndpointEntry) -> Result<Source, ExchangeError> {
    if shared.paths().lost() > 0 {
        return Ok(open(shared, entry, CALL_TIMEOUT).await?.source);
    }
    connect(entry.address, CALL_TIMEOUT).await
}
