//! An engine: continuous batching, a block cache, priorities, cancel and resume, orders and faults.
//!
//! Prompt tokens are counted as four bytes each. A block's hash is the BLAKE3 digest of its predecessor's 64
//! hexadecimal digits followed by the block's bytes; before the first block stands the digest of cache scope, model and
//! weights, one a line (see [`chain`]). Only whole blocks are cached. Piece `i` of an answer is a function of weights,
//! prompt and `i` alone ([`piece`]), so that a resumed stream can be checked.
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
