//! Measures one router: its overhead per request, and the growth of CPU time, memory and traffic.

mod fit;
mod load;
mod overhead;
mod process;
mod relay;
mod slopes;
mod sockets;
mod spread;
mod sweeps;
mod test_bed;

pub use fit::{Fit, fit};
pub use overhead::{OverheadRecord, OverheadSpec, overhead};
pub use slopes::{Series, SlopeSpec, slopes};
pub use spread::{SpreadRecord, SpreadSpec, spread};
