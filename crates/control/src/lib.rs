//! State machines for membership, endpoint health, router startup and engine orders. No I/O.
//!
//! Each state machine takes an event and the time since the process started, and returns what to do next.

pub mod following;
pub mod health;
pub mod membership;
pub mod orders;
pub mod rendezvous;
pub mod startup;
