//! An inference engine with continuous batching, a block cache, priorities, cancel and resume, orders and faults.
//!
//! A prompt token is four bytes. A block's hash is xxh3 of its bytes, seeded with the hash of the preceding block. The
//! seed of the first block is the digest of cache scope, model and weights, each prefixed with its length (see
//! [`chain`]). Messages contain hashes as 16 hexadecimal digits. Routers compute the same hashes in `placement`. Only
//! full blocks are cached. Piece `i` of an answer depends only on weights, prompt and `i` ([`piece`]), so that tests
//! can check a resumed stream.
//!
//! Beyond the table in `wire::engine`: importing a block of other weights returns 409 with the reason; the connection
//! of a cancelled request is closed without an answer.

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
pub use state::{Args, new_incarnation};
