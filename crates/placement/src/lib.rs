//! Chooses the endpoint for a request. Never does I/O, never reads a clock.
//!
//! A [`PrefixChain`] names a prompt's blocks, a [`LoadView`] says how busy and how fast each endpoint is, and a
//! [`Placer`] weighs both. A router keeps one [`Placer`] and one [`LoadView`] for each pool. Routers never talk to each
//! other about placement; they agree because they rank endpoints by the same hashes and read the same load reports.
//!
//! | module | load pattern it answers |
//! | --- | --- |
//! | `placer::homes` | long shared prefixes, a few of them hot; routers that have just started |
//! | `placer::price` | a pool so full that moving a request to an idle cache costs the pool more than it gains |
//! | `placer::share` | a prefix that becomes hot and cools down without warning |
//! | `index` | prefixes that live elsewhere than at their home; engines that crash |
//! | `load` | herds of routers, lagging reports |
//! | `load::pace` | an endpoint that is slow and looks idle |

mod chain;
mod index;
mod load;
mod placer;
mod uniform;

pub use chain::{Level, PrefixChain, Scope};
pub use index::{Holder, LearntIndex};
pub use load::{Estimate, LoadView, LoadViewBuilder, Report, Ticket};
pub use placer::{Candidate, Choice, EndpointKey, Pick, Placer, PlacerBuilder, Reason, score};
