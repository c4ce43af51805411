//! Hedging: a second attempt beside a slow one.
//!
//! An engine may hang, be stopped or swap while others have room. Without hedging, a request waits there until its
//! deadline and the client gets no response in time. An attempt without a head after [`HEDGE_FACTOR`] times the
//! expected time to first token gets a second attempt elsewhere, paid from the retry budget. The first response
//! counts.

use super::attempt::Attempts;
use super::transmit::unless_disconnected;
use crate::control::Observation;
use crate::pool::{EndpointAttempt, PickContext};
use crate::shared::Shared;
use admission::HedgeDecision;
use futures::future::{Either, select};
use http::{Reply, Request, SendError};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// An attempt is slow after this multiple of the expected time to first token: in the experiment's steady scenarios
/// 99 of 100 requests take less than three times the mean.
const HEDGE_FACTOR: f64 = 3.0;
/// Minimum hedge delay: below it, a hedge costs the pool more than it gains the client.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(500);

/// Result of a send, `None` if the client disconnected.
type Outcome = Option<Result<Reply, SendError>>;

impl Attempts {
    /// Waits for the response to `sending`; starts a second attempt if the first is slow and the retry budget allows
    /// it.
    pub(super) async fn race<F, Fut>(
        &mut self,
        first: EndpointAttempt,
        mut sending: Pin<Box<Fut>>,
        send: &F,
    ) -> (EndpointAttempt, Outcome)
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        let delay = self.hedge_delay();
        let waited = http::timeout(delay, unless_disconnected(&self.call.conn, sending.as_mut())).await;
        if let Ok(outcome) = waited {
            return (first, outcome);
        }
        let Some((second, remaining)) = self.place_hedge(&first, delay) else {
            let outcome = unless_disconnected(&self.call.conn, sending).await;
            return (first, outcome);
        };
        self.shared.metrics.retries.with_label_values(&["hedge"]).inc();
        let other = Box::pin(self.transmit(&second, remaining, send));
        let is_usable = |result: &Result<Reply, SendError>| result.as_ref().is_ok_and(|reply| self.is_usable(reply));
        let winner = unless_disconnected(&self.call.conn, first_answer(sending, other, is_usable)).await;
        match winner {
            None => {
                self.cancel(&second);
                (first, None)
            }
            Some((Side::First, result)) => {
                self.cancel(&second);
                (first, Some(result))
            }
            Some((Side::Second, result)) => {
                self.report(&first, Observation::Timeout);
                self.cancel(&first);
                (second, Some(result))
            }
        }
    }

    /// Time after which an attempt without a response counts as slow.
    pub(super) fn hedge_delay(&self) -> Duration {
        let uncached = self.chain.blocks().len() as u64 * super::completion::BLOCK_TOKENS;
        let expected = self.permit.expected_first_token(uncached);
        expected.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY)
    }

    /// Chooses another endpoint for a second attempt, if the retry budget allows it.
    fn place_hedge(&mut self, first: &EndpointAttempt, waited: Duration) -> Option<(EndpointAttempt, Duration)> {
        let remaining = self.call.remaining(&self.shared)?;
        let decision = self.permit.hedge(self.count, self.call.deadline, waited);
        if decision != HedgeDecision::Hedge {
            return None;
        }
        self.excluded.push(first.key);
        let context = PickContext {
            chain: &self.chain,
            weights: &self.weights,
            excluded: &self.excluded,
        };
        let second = self.permit.place(&context)?;
        self.count += 1;
        Some((second, remaining))
    }
}

enum Side {
    First,
    Second,
}

/// Waits for the first usable response. If one send ends without it, returns the result of the other, unless only the
/// first to end has a response at all.
async fn first_answer<Fut>(
    first: Pin<Box<Fut>>,
    second: Pin<Box<Fut>>,
    is_usable: impl Fn(&Result<Reply, SendError>) -> bool,
) -> (Side, Result<Reply, SendError>)
where
    Fut: Future<Output = Result<Reply, SendError>>,
{
    let (ended, other) = match select(first, second).await {
        Either::Left((result, second)) => ((Side::First, result), (Side::Second, second)),
        Either::Right((result, first)) => ((Side::Second, result), (Side::First, first)),
    };
    if is_usable(&ended.1) {
        return ended;
    }
    let (side, pending) = other;
    let result = pending.await;
    if ended.1.is_ok() && result.is_err() {
        return ended;
    }
    (side, result)
}
