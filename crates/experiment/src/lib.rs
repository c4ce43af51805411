//! Deterministic experiment over the pure modules with a cost model of engines.
//!
//! An event queue drives engines, routers and callers of one deployment through one scenario. The same seed gives the
//! same workload to every policy, so that their figures can be compared. It models time and caches, nothing else.

pub mod cost;
pub mod deployment;
pub mod engine;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod table;
pub mod workload;
