//! Decisions of a router in front of routed services. Never does I/O, never reads a clock.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`site`] | which service a request belongs to, and whose it is |
//! | [`freshness`] | whether the configuration may still be relied on for keys |
//! | [`uptime`] | since when the store is known to answer |
//! | [`roster`] | which endpoints are in service |
//! | [`fleet`] | which endpoint a request goes to |
//! | [`attempt`] | what follows a failed attempt, and what the caller is told |
//! | [`retries`] | whether the budget that all routers share allows one more attempt |
//! | [`pressure`] | how many requests are refused at once while first events are late |
//! | [`prefixes`] | what engines exchange with the store of cached prefixes |
//! | [`holder`] | who gives orders to the endpoints, and since when |
//! | [`rollout`] | which endpoint loads new weights next |
//! | [`loading`] | when one endpoint is ordered to load, once more or no more |

pub mod attempt;
mod fade;
pub mod fleet;
pub mod freshness;
pub mod holder;
pub mod loading;
pub mod prefixes;
pub mod pressure;
pub mod retries;
pub mod rollout;
pub mod roster;
pub mod site;
pub mod uptime;
