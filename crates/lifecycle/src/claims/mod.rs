//! At-most-once calls across routers: one claim per idempotency key, through the platform's compare-and-swap.
//!
//! A client whose answer was lost may retry at another router. Without claims, a fan command or stock reservation would
//! then run twice. [`Claim`] acquires the key before the call is sent, [`HeldClaim`] checks right before the first byte
//! whether it may still be sent, and [`Settle`] stores the result with the claim, so that a retry at any router gets
//! the same complete answer. A call whose claim was acquired is never run by another router: if the holder fails, the
//! outcome is unknown.
//!
//! One key-value entry per claim costs two writes per call: the claim and its result. Grouping claims in shared entries
//! costs more (`examples/claim_writes.rs`); see `docs/DECISIONS.md`.

mod acquire;
mod held;
mod lease;
mod protection;
mod record;
mod settle;

pub use acquire::{Attempt, Claim, ClaimEvent, ClaimLimits, ClaimRequest, ClaimStep};
pub use held::{HeldClaim, MaySend};
pub use lease::{CLAIM_LEASE_TTL, ClaimLease, KEY_RETENTION, LEASE_USE_PERIOD, LeaseStep};
pub use protection::{Protection, protection};
pub use record::{Body, ClaimState, EntryState, MAX_BODY_BYTES, Nonce, Record, StoredAnswer, call_digest, claim_key};
pub use settle::{Outcome, Settle, SettleStep};
