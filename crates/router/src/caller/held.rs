//! Memory for bodies of requests in flight.
//!
//! Load pattern: many callers send large bodies, slowly or while engines are busy. Each body alone is within its limit,
//! and all connections together could hold gigabytes; the process would be killed with every request it had. So bodies
//! share a budget, and a request that does not fit is refused before its body is read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of bodies held now.
#[derive(Debug, Clone, Default)]
pub struct Budget(Arc<AtomicU64>);

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub struct Held {
    budget: Budget,
    bytes: u64,
}

impl Budget {
    /// Takes `bytes` of at most `limit`, none if they do not fit.
    pub fn take(&self, bytes: u64, limit: u64) -> Option<Held> {
        let before = self.0.fetch_add(bytes, Ordering::SeqCst);
        let held = Held {
            budget: self.clone(),
            bytes,
        };
        (before + bytes <= limit).then_some(held)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
