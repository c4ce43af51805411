//! Helpers shared by several test files.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod brittle_fleet;
pub mod engine_load;
pub mod fleet;
pub mod pool;
pub mod speed_pool;
