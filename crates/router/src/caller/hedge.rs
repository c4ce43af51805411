//! A second attempt beside a slow one.
//!
//! Load pattern: an engine hangs, is stopped or swaps while the others have room. Without this a request waits there
//! until its deadline and the caller gets nothing in time. An attempt without a head after [`TIMES`] the expected time to
//! first token gets a second one elsewhere, from the retry budget, and the first answer counts.

use super::attempt::Attempts;
use super::transmit::unless_gone;
use crate::control::Sighting;
use crate::pool::{Flight, Wish};
use crate::shared::Shared;
use admission::HedgeDecision;
use futures::future::{Either, select};
use http::{Reply, Request, SendError};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// An attempt is slow once it takes this many times the expected time to first token: in the experiment's steady
/// scenarios 99 of 100 requests take less than three times the mean.
const TIMES: f64 = 3.0;
/// No attempt is slow before this: below, a hedge gains the caller less than it costs the pool.
const FLOOR: Duration = Duration::from_millis(500);

/// What came of a send, none if the caller went away.
type Outcome = Option<Result<Reply, SendError>>;

impl Attempts {
    /// Waits for the answer to `sending`; starts a second attempt if it is slow and that is worth it.
    pub(super) async fn race<F, Fut>(
        &mut self,
        first: Flight,
        mut sending: Pin<Box<Fut>>,
        send: &F,
    ) -> (Flight, Outcome)
    where
        F: Fn(Arc<Shared>, Request, Vec<u8>, SocketAddr, Duration) -> Fut,
        Fut: Future<Output = Result<Reply, SendError>>,
    {
        let slow = self.slow();
        let waited = http::timeout(slow, unless_gone(&self.call.conn, sending.as_mut())).await;
        if let Ok(outcome) = waited {
            return (first, outcome);
        }
        let Some((second, left)) = self.second(&first, slow) else {
            let outcome = unless_gone(&self.call.conn, sending).await;
            return (first, outcome);
        };
        self.shared.metrics.retries.with_label_values(&["hedge"]).inc();
        let other = Box::pin(self.transmit(&second, left, send));
        let winner = unless_gone(&self.call.conn, first_answer(sending, other)).await;
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
                self.tell(&first, Sighting::Silent);
                self.cancel(&first);
                (second, Some(result))
            }
        }
    }

    /// From when on an attempt without an answer counts as slow.
    pub(super) fn slow(&self) -> Duration {
        let missing = self.chain.blocks().len() as u64 * super::completion::BLOCK_TOKENS;
        let expected = self.permit.expected_first_token(missing);
        expected.mul_f64(TIMES).max(FLOOR)
    }

    /// Another endpoint for a second attempt, if the budget has room for it.
    fn second(&mut self, first: &Flight, waited: Duration) -> Option<(Flight, Duration)> {
        let left = self.call.left(&self.shared)?;
        let decision = self.permit.hedge(self.count, self.call.deadline, waited);
        if decision != HedgeDecision::Hedge {
            return None;
        }
        self.avoid.push(first.key);
        let wish = Wish {
            chain: &self.chain,
            weights: &self.weights,
            avoid: &self.avoid,
        };
        let second = self.permit.place(&wish)?;
        self.count += 1;
        Some((second, left))
    }
}

enum Side {
    First,
    Second,
}

/// The first of two sends that is answered; the other's result if one fails.
async fn first_answer<Fut>(first: Pin<Box<Fut>>, second: Pin<Box<Fut>>) -> (Side, Result<Reply, SendError>)
where
    Fut: Future<Output = Result<Reply, SendError>>,
{
    match select(first, second).await {
        Either::Left((Ok(reply), _)) => (Side::First, Ok(reply)),
        Either::Left((Err(_), second)) => (Side::Second, second.await),
        Either::Right((Ok(reply), _)) => (Side::Second, Ok(reply)),
        Either::Right((Err(_), first)) => (Side::First, first.await),
    }
}
