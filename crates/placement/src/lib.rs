//! Chooses the endpoint for a request. Never does I/O, never reads a clock.
//!
//! A [`PrefixChain`] identifies a prompt's blocks, a [`LoadView`] estimates the load and speed of each endpoint, and a
//! [`Placer`] combines both. A router has one [`Placer`] and one [`LoadView`] per pool. Routers do not coordinate
//! placement. Their choices agree because they rank endpoints by the same hashes and read the same load reports.
//!
//! | module | load pattern it handles |
//! | --- | --- |
//! | `placer::homes` | long shared prefixes, a few of them hot; newly started routers |
//! | `placer::price` | a pool so full that moving a request to an idle cache costs the pool more than it gains |
//! | `placer::share` | a prefix whose share of the requests rises and falls suddenly |
//! | `index` | prefixes cached at endpoints other than their homes; crashes of engines |
//! | `load` | herding of routers, delayed reports |
//! | `load::pace` | a slow endpoint that appears idle |

mod chain;
mod identity_hasher;
mod index;
mod load;
mod placer;

pub use chain::{Level, PrefixChain, Scope};
pub use index::{Holder, PrefixIndex};
pub use load::{Estimate, LoadView, LoadViewBuilder, Report, Ticket};
pub use placer::{Candidate, Choice, EndpointKey, Pick, Placer, PlacerBuilder, Reason, score};
