//! Measures one router: its own time per request, and how processor time, memory and bytes grow.

mod fit;
mod load;
mod overhead;
mod process;
mod relay;
mod slopes;
mod sockets;
mod spread;
mod stand;
mod sweeps;

pub use fit::{Fit, fit};
pub use overhead::{OverheadRecord, OverheadSpec, overhead};
pub use slopes::{Series, SlopeSpec, slopes};
pub use spread::{SpreadRecord, SpreadSpec, spread};
