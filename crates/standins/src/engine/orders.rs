//! Checks orders against fencing number, incarnation and expiry, then executes them one at a time.

use super::cache::parse_hash;
use super::state::{Engine, State};
use async_std::task;
use ids::{ModelId, WeightsVersion};
use std::time::Duration;
use wire::engine::{Action, Block, Order, OrderDone, RefusedReason};

impl Engine {
    /// Executes `order`, received now.
    ///
    /// # Errors
    /// The reason why the order was refused.
    pub async fn execute(&self, order: &Order) -> Result<OrderDone, RefusedReason> {
        let received = self.now();
        let _guard = self.order.lock().await;
        self.check(order, received)?;
        match &order.action {
            Action::Role(role) => self.lock().role = *role,
            Action::Load { model, weights, .. } => self.load_weights(model, weights).await,
        }
        let incarnation = self.lock().incarnation;
        if incarnation != order.incarnation {
            return Err(RefusedReason::OtherIncarnation);
        }
        Ok(OrderDone { incarnation })
    }

    fn check(&self, order: &Order, received: Duration) -> Result<(), RefusedReason> {
        let waited = self.now().saturating_sub(received);
        let mut state = self.lock();
        if order.incarnation != state.incarnation {
            return Err(RefusedReason::OtherIncarnation);
        }
        if waited >= Duration::from_millis(order.expires_ms) {
            return Err(RefusedReason::Expired);
        }
        if self.args.fenced && order.fence < state.fence {
            return Err(RefusedReason::OldFence);
        }
        state.fence = state.fence.max(order.fence);
        Ok(())
    }

    async fn load_weights(&self, model: &ModelId, weights: &WeightsVersion) {
        let incarnation = {
            let mut state = self.lock();
            if state.model == *model && state.weights.as_ref() == Some(weights) {
                return;
            }
            state.weights = None;
            let changes = state.cache.clear();
            self.announce(&mut state, changes);
            state.incarnation
        };
        task::sleep(Duration::from_millis(self.args.load_ms)).await;
        let mut state = self.lock();
        if state.incarnation == incarnation {
            state.model = model.clone();
            state.weights = Some(weights.clone());
        }
    }

    /// Imports a block from another engine.
    ///
    /// # Errors
    /// If the block was computed with other weights.
    pub fn import(&self, block: &Block) -> Result<(), RefusedReason> {
        let mut state = self.lock();
        let Some(hash) = parse_hash(&block.hash) else {
            return Err(RefusedReason::OtherWeights);
        };
        if state.weights.as_ref() != Some(&block.weights) {
            return Err(RefusedReason::OtherWeights);
        }
        let changes = state.cache.store(&block.scope, &[hash]);
        self.announce(&mut state, changes);
        Ok(())
    }

    /// Exports a cached block to another engine.
    pub fn export(&self, scope: &str, hash: &str) -> Option<Block> {
        let state: &State = &self.lock();
        let weights = state.weights.clone()?;
        let digest = parse_hash(hash)?;
        let tokens = u32::try_from(self.args.block_tokens).ok()?;
        let found = state.cache.contains(scope, digest);
        found.then(|| Block {
            scope: scope.to_owned(),
            weights,
            hash: hash.to_owned(),
            tokens,
        })
    }
}
