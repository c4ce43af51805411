//! One run: processes, open-loop calls, faults, and what callers got.

mod accounting;
mod balancer;
mod caller;
mod drive;
mod outcome;
mod reader;
mod tally;

pub use accounting::{Counted, Problem, check};
pub use drive::{RunSpec, run};
pub use outcome::{Attempt, Got, Outcome};
pub use reader::{Expected, read_stream, read_whole};
pub use tally::{Record, Second, Tally, Times};
