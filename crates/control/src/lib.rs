//! State machines of membership, endpoint health, start of a router and orders to engines. Never does I/O.
//!
//! Each machine takes events with the time since the process started, and gives back what to do next.

pub mod following;
pub mod health;
pub mod membership;
pub mod orders;
pub mod rendezvous;
pub mod startup;
