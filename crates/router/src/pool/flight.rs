//! One attempt at one endpoint.

use super::Pool;
use super::member::Member;
use admission::Sample;
use ids::{EndpointId, Incarnation};
use placement::{EndpointKey, PrefixChain, Reason, Ticket};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// One attempt at one endpoint; counted there until dropped.
#[derive(Debug)]
pub struct Flight {
    pool: Arc<Pool>,
    /// The endpoint's key.
    pub key: EndpointKey,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: Reason,
    placed: Duration,
    ticket: Ticket,
}

impl Flight {
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

    /// The first token came; `uncached` prompt tokens were computed for it. Returns the time since the placement.
    pub fn first_token(&self, uncached: u64) -> Duration {
        let now = self.pool.clock.now();
        let after = now.saturating_sub(self.placed);
        self.pool
            .change(|state| state.loads.record_first_token(self.key, self.ticket, now));
        self.observe(Sample::FirstToken { after, uncached });
        after
    }

    /// So far this many tokens were generated: shows how fast the endpoint is.
    pub fn progress(&self, generated: u64) {
        let now = self.pool.clock.now();
        self.pool
            .change(|state| state.loads.record_progress(self.key, self.ticket, generated, now));
    }

    /// What came of the attempt, for the endpoint's limit.
    pub fn observe(&self, sample: Sample) {
        let now = self.pool.clock.now();
        self.pool.change(|state| {
            if let Some(index) = state.position(self.key) {
                state.members[index].limit.observe(sample, now);
                state.fit(now);
            }
        });
    }

    /// The answer showed how much of the prompt was cached, and by which life of the endpoint.
    pub fn learn(&self, incarnation: Incarnation, chain: &PrefixChain, cached: usize) {
        let now = self.pool.clock.now();
        self.pool
            .change(|state| state.placer.learn(self.key, incarnation, chain, cached, now));
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.pool.change(|state| {
            state.loads.record_end(self.key, self.ticket);
            if let Some(index) = state.position(self.key) {
                state.members[index].end();
            }
        });
    }
}
