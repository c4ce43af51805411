//! Routing decisions, without I/O or clock access: callers pass the current time.
//!
//! | module | decision |
//! | --- | --- |
//! | [`site`] | which service a request goes to, and which workspace owns it |
//! | [`freshness`] | whether the configuration is recent enough to check API keys |
//! | [`catch_up`] | whether a watch has delivered all changes of the store |
//! | [`era_check`] | whether a restored store holds the newest document |
//! | [`uptime`] | how long the store has been available |
//! | [`roster`] | which endpoints are in service |
//! | [`leaving`] | which endpoints have stated on their answers that they leave |
//! | [`fleet`] | which endpoint a request goes to |
//! | [`attempt`] | whether a failed attempt is retried, and the error response to the client |
//! | [`origins`] | at which version of the software a stream may go on |
//! | [`software`] | at which versions of the software streams may begin |
//! | [`paths`] | whether an endpoint is reached directly or through another router |
//! | [`quotas`] | whether a request is within the quota of its workspace |
//! | [`quarantine`] | which requests are kept from endpoints, because others have ended under them |
//! | [`held_bytes`] | which connection is closed when too many bytes are held for slow readers |
//! | [`intake`] | how many new connections are accepted |
//! | [`fatal_parts`] | which parts of prompts are kept from endpoints, because others have ended under them |
//! | [`retries`] | whether the retry budget, shared by all routers, allows one more attempt |
//! | [`pressure`] | how many requests are shed while first events are late |
//! | [`overload`] | which kinds of requests are shed first, and how long patient ones wait in the router |
//! | [`scope`] | which requests share cached prefixes |
//! | [`prefixes`] | what engines fetch from and save to the prefix stores |
//! | [`holder`] | which router holds the lease to order endpoints to load weights |
//! | [`rollout`] | which endpoints load new weights next |
//! | [`loading`] | when an endpoint is ordered to load, again or not at all |

pub mod attempt;
pub mod catch_up;
mod decay;
pub mod era_check;
pub mod fatal_parts;
pub mod fleet;
pub mod freshness;
pub mod held_bytes;
pub mod holder;
pub mod intake;
pub mod leaving;
pub mod loading;
pub mod origins;
pub mod overload;
pub mod paths;
pub mod prefixes;
pub mod pressure;
pub mod quarantine;
pub mod quotas;
pub mod retries;
pub mod rollout;
pub mod roster;
pub mod scope;
pub mod shutdown;
pub mod site;
pub mod software;
pub mod uptime;
