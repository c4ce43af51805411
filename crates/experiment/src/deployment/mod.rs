//! Sizes of the two deployments and parameters of the cost model.

use std::time::Duration;

/// Sizes of one deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Name in tables.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Engines, spread evenly over the domains.
    pub engines: usize,
    /// Routers, spread evenly over the domains.
    pub routers: usize,
    /// One-way delay between failure domains.
    pub domain_delay: Duration,
    /// Workspaces.
    pub workspaces: usize,
    /// Blocks an engine can cache; small enough that an unused block is evicted within seconds.
    pub cache: usize,
}

/// The Board: sizes as its brief gives them.
pub const BOARD: Deployment = Deployment {
    name: "board",
    domains: 4,
    engines: 12,
    routers: 14,
    domain_delay: Duration::from_micros(1500),
    workspaces: 8,
    cache: CACHE_BLOCKS,
};

/// Kovács: sizes as its brief gives them.
pub const KOVACS: Deployment = Deployment {
    name: "kovacs",
    domains: 3,
    engines: 9,
    routers: 13,
    domain_delay: Duration::from_micros(1000),
    workspaces: 8,
    cache: CACHE_BLOCKS,
};

/// One-way delay between a client and its router.
pub const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// Tokens of a block.
pub const BLOCK_TOKENS: u32 = 1024;
/// Tokens per second that an engine prefills on a small machine.
pub const PREFILL_RATE: f64 = 20_000.0;
/// Time of an engine's step besides prefill and decoding.
pub const STEP_TIME: Duration = Duration::from_millis(8);
/// Added to a step for each sequence that decodes.
pub const DECODE_TIME: Duration = Duration::from_micros(300);
/// Sequences an engine runs at once.
pub const SLOTS: usize = 32;
const CACHE_BLOCKS: usize = 192;
/// Time between two load reports of an engine.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay until a report reaches a router.
pub const REPORT_LAG: Duration = Duration::from_millis(250);
