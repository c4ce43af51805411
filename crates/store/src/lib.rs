//! Client of the platform's key-value service.
//!
//! Each call counts against a rate limit that all VMs share, so the client never retries by itself. Errors distinguish
//! a write that was never sent from one whose response was lost. After a lost response, the caller reads the key to
//! learn the outcome.

mod calls;
mod error;
pub mod items;

pub use calls::{Platform, Written};
pub use error::PlatformError;
