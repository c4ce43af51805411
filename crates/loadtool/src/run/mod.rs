//! One run: processes, open-loop calls, faults, and the outcomes at the clients.

mod accounting;
mod balancer;
mod client;
mod drive;
mod outcome;
mod reader;
mod tally;

pub use accounting::{ExecutionCounts, Problem, check};
pub use drive::{RunSpec, run};
pub use outcome::{Attempt, CompletionUsage, Outcome};
pub use reader::{Expected, read_complete, read_stream};
pub use tally::{Record, Second, Tally, Times};
