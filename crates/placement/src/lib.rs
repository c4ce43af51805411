//! Chooses the endpoint for a request. Never does I/O, never reads a clock.
//!
//! A [`PrefixChain`] names a prompt's blocks, a [`LoadView`] says how busy and how fast each endpoint is, and a
//! [`Placer`] weighs both. A router keeps one [`Placer`] for each model pool; routers never talk to each other about
//! placement, and agree because they rank endpoints by the same hashes.

mod chain;
mod index;
mod load;
mod placer;

pub use chain::{Level, PrefixChain, Scope};
pub use index::{Holder, LearntIndex};
pub use load::{Estimate, LoadView, LoadViewBuilder, Report, Ticket};
pub use placer::{Candidate, Choice, EndpointKey, Pick, Placer, PlacerBuilder, Reason, score};
