//! An engine: continuous batching, a block cache, priorities, cancel and resume, orders and faults.
//!
//! Prompt tokens are counted as four bytes each. A block's hash is xxh3 of its bytes seeded by its predecessor's hash;
//! the first one's seed is the digest of cache scope, model and weights, each with its length before it (see [`chain`]),
//! and messages hold it as 16 hexadecimal digits. Routers compute the same in `placement`. Only whole blocks are
//! cached. Piece `i` of an answer is a function of weights, prompt and `i` alone ([`piece`]), so that a resumed stream
//! can be checked.
//!
//! Beyond the table in `wire::engine`: importing a block of other weights gets 409 with the reason; a cancelled request's
//! connection is closed without an answer.

mod answer;
mod cache;
mod calls;
mod events;
mod generate;
mod orders;
mod pace;
mod slots;
mod state;

pub use answer::{piece, text_seed};
pub use cache::{BlockCache, Change, chain};
pub use calls::run;
pub use state::{Args, fresh_incarnation};
