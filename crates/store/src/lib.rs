//! Client of the platform's key-value service.
//!
//! Each call counts against a rate that all VMs share, so the client never repeats one by itself. A write whose
//! answer was lost is told apart from one that was never sent: the caller settles it by reading back.

mod calls;
mod error;
pub mod items;

pub use calls::{Platform, Written};
pub use error::PlatformError;
