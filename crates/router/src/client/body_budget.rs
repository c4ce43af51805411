//! Memory budget for the bodies of requests in flight.
//!
//! Many clients may send large bodies, slowly or while engines are busy. Each body is within its limit, but over all
//! connections they could take gigabytes, and the process would be killed with all its requests. So bodies share a
//! budget, and a request that does not fit is refused before its body is read.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes reserved for bodies.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget(Arc<AtomicU64>);

/// Bytes reserved in the budget; released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: u64,
}

impl BodyBudget {
    /// Reserves `bytes` if the total stays within `limit`.
    pub fn try_reserve(&self, bytes: u64, limit: u64) -> Option<BodyReservation> {
        let before = self.0.fetch_add(bytes, Ordering::SeqCst);
        let reservation = BodyReservation {
            budget: self.clone(),
            bytes,
        };
        (before + bytes <= limit).then_some(reservation)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
