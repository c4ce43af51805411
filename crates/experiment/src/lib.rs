//! Deterministic simulation of the placement and admission crates with a cost model of engines.
//!
//! An event queue drives engines, routers and clients of one deployment through one scenario. The same seed gives the
//! same workload to every policy, so that their results are comparable. Only time and caches are modelled.

pub mod cost;
pub mod deployment;
pub mod engine;
pub mod policy;
pub mod scenario;
pub mod sim;
pub mod table;
pub mod workload;
