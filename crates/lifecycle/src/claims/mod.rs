//! At-most-once calls across routers: one claim per idempotency key, by the platform's compare-and-swap.
//!
//! What goes wrong without it: a caller whose answer was lost retries at another router, and the fan command or
//! stock reservation runs twice. [`Claim`] wins the key before the send, [`HeldClaim`] says right before the first
//! byte whether it may still leave, and [`Settle`] keeps the result with the claim, so that a retry at any
//! router gets the same whole answer. A claim that was won is never run by anybody else: if its holder dies, its
//! outcome is unknown.
//!
//! One key-value entry per claim costs two writes per call: the claim and its result. Claims grouped in shared
//! entries were measured against it (`examples/claim_writes.rs`) and cost more; see `docs/DECISIONS.md`.

mod acquire;
mod guard;
mod held;
mod lease;
mod record;
mod settle;

pub use acquire::{Attempt, Claim, ClaimEvent, ClaimLimits, ClaimRequest, ClaimStep};
pub use guard::{Protection, protection};
pub use held::{HeldClaim, MaySend};
pub use lease::{CLAIM_LEASE_TTL, ClaimLease, LeaseStep, REMEMBERED, USED_FOR};
pub use record::{Body, ClaimState, EntryState, KEPT_BYTES, Nonce, Record, StoredAnswer, call_digest, claim_key};
pub use settle::{Outcome, Settle, SettleStep};
