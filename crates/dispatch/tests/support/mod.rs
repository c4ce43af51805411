//! What several test files use.
#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod crowd;
pub mod fleet;
pub mod pool;
