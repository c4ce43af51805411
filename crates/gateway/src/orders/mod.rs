//! Calls of the holder to endpoints: reports, orders, and probes of endpoints that failed.

use crate::control::orders::may_order;
use crate::control::{Event, send};
use crate::dialect::{Loaded, OrderResponse, WeightsOrder};
use crate::link::{Line, ask};
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::task;
use dispatch::fleet::Outcome;
use dispatch::holder::{Holder, listed};
use dispatch::loading::{ANSWER, Loading, Next, OrderOutcome};
use dispatch::rollout::{Ordered, Report};
use dispatch::site::EndpointEntry;
use http::raw::{ExchangeError, Headers};
use ids::{Fence, ModelId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for the other routers to hear that an endpoint is about to load, before it is ordered to: they look at the store again
/// 200 ms after the last change.
const NOTICE: Duration = Duration::from_millis(220);
/// Longest wait for a report.
const CALL: Duration = Duration::from_millis(800);
/// Pause between two looks at whether the list is in the store.
const LISTED_LOOK: Duration = Duration::from_millis(10);
/// Longest time for one load, of which a sound one takes less than two seconds; after it another endpoint gets its turn.
const LOAD: Duration = Duration::from_secs(8);

/// One endpoint that is to load a model's newest weights.
pub struct Load {
    /// Of this router.
    pub shared: Arc<Shared>,
    /// The right to give orders.
    pub holder: Arc<Mutex<Holder>>,
    /// The generation number under which the endpoint was listed: under another one it may stand in no list.
    pub fence: Fence,
    /// The list that it stands in.
    pub listed: Arc<Listed>,
    /// Who orders.
    pub name: String,
    /// Where.
    pub entry: Arc<EndpointEntry>,
    /// What.
    pub model: ModelId,
}

/// When the list was sent that the store has now.
#[derive(Debug, Default)]
pub struct Listed(AtomicU64);

impl Listed {
    /// The store has the list that was sent then.
    pub fn told(&self, sent: Duration) {
        self.0.store(sent.as_millis() as u64, Ordering::SeqCst);
    }

    /// The store has no list of this holder.
    pub fn clear(&self) {
        self.0.store(0, Ordering::SeqCst);
    }

    fn sent(&self) -> Option<Duration> {
        let sent = self.0.load(Ordering::SeqCst);
        (sent > 0).then(|| Duration::from_millis(sent))
    }
}

impl Load {
    /// Orders and looks until the newest weights are in place, or it takes too long.
    pub async fn run(self) {
        task::sleep(NOTICE).await;
        let loaded = timeout(LOAD, self.steps()).await.unwrap_or_default();
        let loaded = loaded.map(|weights| Loaded {
            endpoint: self.entry.id.clone(),
            life: self.entry.incarnation,
            model: self.model.clone(),
            weights,
        });
        if loaded.is_none() {
            log::warn!(endpoint = self.entry.id.as_str(); "orders: a load has not ended in time or could not begin");
        }
        let endpoint = self.entry.id.clone();
        send(&self.shared, Event::LoadEnded { endpoint, loaded }).await;
    }

    /// The weights that are in place in the end; none if this router may not order any more.
    async fn steps(&self) -> Option<u64> {
        let mut loading = Loading::default();
        let mut line = Line::new(self.entry.address);
        loop {
            let wanted = self.wanted()?;
            self.may_order()?;
            let report = self.report(&mut line).await;
            let mut next = loading.looked(report, wanted, self.shared.clock.now());
            if let Next::Order { expected } = next {
                next = if self.is_listed().await {
                    let (sent, outcome) = self.order(wanted, expected).await?;
                    loading.answered(sent, outcome)
                } else {
                    loading.unlisted()
                };
            }
            match next {
                Next::Done(weights) => return Some(weights),
                Next::Stop => return None,
                Next::Look(pause) => task::sleep(pause).await,
                Next::Order { .. } => {}
            }
        }
    }

    /// The generation number, while this load may order.
    fn may_order(&self) -> Option<Fence> {
        let fence = may_order(&self.holder, self.shared.clock.now());
        fence.filter(|fence| *fence == self.fence)
    }

    /// Whether the list is young enough for an order. It is written again if it is not.
    async fn is_listed(&self) -> bool {
        let young = || listed(self.listed.sent(), self.shared.clock.now());
        if young() {
            return true;
        }
        send(&self.shared, Event::List).await;
        let again = async {
            while !young() {
                task::sleep(LISTED_LOOK).await;
            }
        };
        timeout(CALL, again).await.is_ok()
    }

    fn wanted(&self) -> Option<u64> {
        let fleet = self.shared.fleet();
        let wanted = fleet.wanted().find(|(model, _)| **model == self.model);
        wanted.map(|(_, weights)| weights)
    }

    async fn report(&self, line: &mut Line) -> Option<Report> {
        let call = (self.shared.dialect.report_call)();
        let (status, body) = line.ask(&call, &Headers::default(), CALL).await.ok()?;
        if status != 200 {
            return None;
        }
        match (self.shared.dialect.parse_report)(&body, &self.model) {
            Ok(report) => Some(report),
            Err(err) => {
                log::warn!(endpoint = self.entry.id.as_str(), why:% = err; "orders: a report cannot be read");
                None
            }
        }
    }

    /// Sends an order. `None` if this router may not give any more.
    async fn order(&self, weights: u64, expected: u64) -> Option<(Ordered, OrderOutcome)> {
        let at = self.shared.clock.now();
        let fence = self.may_order()?;
        let order = WeightsOrder {
            endpoint: &self.entry.id,
            model: &self.model,
            weights,
            expected,
            holder: &self.name,
            fence,
        };
        let (call, headers) = (self.shared.dialect.order_call)(&order);
        let answer = ask(self.entry.address, &call, &headers, ANSWER).await;
        let outcome = match &answer {
            Ok((status, _)) => match (self.shared.dialect.order_response)(*status) {
                OrderResponse::Accepted | OrderResponse::AlreadyApplied => OrderOutcome::Taken,
                OrderResponse::Conflict => OrderOutcome::Conflict,
                // Another endpoint has the address by now, or this one will never take the order.
                OrderResponse::Refused => OrderOutcome::Refused,
            },
            Err(ExchangeError::NotSent) => OrderOutcome::Conflict,
            Err(_) => OrderOutcome::Unanswered,
        };
        let status = answer.map_or(0, |(status, _)| status);
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&[name(outcome)]).inc();
        log::info!(
            endpoint = self.entry.id.as_str(),
            model = self.model.as_str(),
            weights = weights,
            expected = expected,
            fence = fence.0,
            status = status,
            outcome = name(outcome);
            "orders: given"
        );
        Some((Ordered { expected, weights, at }, outcome))
    }
}

fn name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Taken => "taken",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Refused => "refused",
    }
}

/// Asks an endpoint that failed whether it is back.
pub async fn probe(shared: Arc<Shared>, entry: Arc<EndpointEntry>) {
    let asked = shared.clock.now();
    let call = (shared.dialect.report_call)();
    let answer = ask(entry.address, &call, &Headers::default(), CALL).await;
    let now = shared.clock.now();
    let outcome = match answer {
        Ok((200, _)) => Outcome::Answered(now.saturating_sub(asked)),
        Ok(_) => Outcome::Declined,
        Err(ExchangeError::NotSent) => Outcome::Unreached,
        Err(_) => Outcome::Broken,
    };
    shared.fleet().probed(&entry.id, outcome, now);
}
