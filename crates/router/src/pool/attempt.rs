//! An attempt to run a request at one endpoint.

use super::Pool;
use super::member::Member;
use admission::Sample;
use ids::{EndpointId, Incarnation};
use placement::{EndpointKey, PrefixChain, Reason, Ticket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An attempt at one endpoint; counts as in flight there until dropped.
#[derive(Debug)]
pub struct EndpointAttempt {
    pool: Arc<Pool>,
    /// The endpoint's key.
    pub key: EndpointKey,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: Reason,
    placed: Duration,
    ticket: Ticket,
}

impl EndpointAttempt {
    pub(super) fn new(pool: Arc<Pool>, member: &Member, ticket: Ticket, reason: Reason, placed: Duration) -> Self {
        Self {
            pool,
            key: member.key,
            endpoint: member.id.clone(),
            address: member.address,
            reason,
            placed,
            ticket,
        }
    }

    /// Records the first token, for which `uncached` prompt tokens were computed. Returns the time since placement.
    pub fn first_token(&self, uncached: u64) -> Duration {
        let now = self.pool.clock.now();
        let after = now.saturating_sub(self.placed);
        self.pool
            .change(|state| state.loads.record_first_token(self.key, self.ticket, now));
        self.observe(Sample::FirstToken { after, uncached });
        after
    }

    /// Records the number of tokens generated so far, from which the endpoint's speed is estimated.
    pub fn progress(&self, generated: u64) {
        let now = self.pool.clock.now();
        self.pool
            .change(|state| state.loads.record_progress(self.key, self.ticket, generated, now));
    }

    /// Adjusts the endpoint's limit by the outcome of the attempt.
    pub fn observe(&self, sample: Sample) {
        let now = self.pool.clock.now();
        self.pool.change(|state| {
            if let Some(index) = state.position(self.key) {
                state.members[index].limit.observe(sample, now);
                state.update_capacity(now);
            }
        });
    }

    /// Records how much of the prompt was cached in this incarnation of the endpoint.
    pub fn learn(&self, incarnation: Incarnation, chain: &PrefixChain, cached: usize) {
        let now = self.pool.clock.now();
        self.pool
            .change(|state| state.placer.learn(self.key, incarnation, chain, cached, now));
    }
}

impl Drop for EndpointAttempt {
    fn drop(&mut self) {
        self.pool.change(|state| {
            state.loads.record_end(self.key, self.ticket);
            if let Some(index) = state.position(self.key) {
                state.members[index].end();
            }
        });
    }
}
