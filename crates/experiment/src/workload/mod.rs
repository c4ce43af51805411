//! Generates requests whose prompts share prefixes on several levels, with skewed popularity.

use crate::deployment::Deployment;
use placement::PrefixChain;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::rc::Rc;
use std::time::Duration;

/// Blocks of a workspace's base.
const BASE_BLOCKS: usize = 8;
/// Tenants of a workspace.
const TENANTS: u64 = 12;
/// Blocks of a tenant's layer.
const TENANT_BLOCKS: usize = 6;
/// Tasks of a tenant.
const TASKS: u64 = 5;
/// Blocks of a task's layer.
const TASK_BLOCKS: usize = 3;
/// Maximum number of full blocks of a request's own text.
const OWN_BLOCKS: usize = 2;
/// Median and spread of generated tokens.
const OUTPUT: (f64, f64) = (80.0, 0.6);
/// Generated tokens of a long job.
const LONG_OUTPUT: u32 = 1000;
/// Skew of workspaces, tenants and tasks.
const SKEW: f64 = 1.0;

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// When the client sends it.
    pub sent: Duration,
    /// The workspace, 0 the largest.
    pub workspace: usize,
    /// The router chosen by the platform's load balancer.
    pub router: usize,
    /// The prompt's blocks.
    pub chain: Rc<PrefixChain>,
    /// Prompt tokens after the last full block.
    pub tail: u32,
    /// Tokens it generates.
    pub output: u32,
    /// How long the client waits for the complete answer.
    pub timeout: Duration,
}

/// What varies between scenarios.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Shape {
    /// The rate is multiplied by this within the window.
    pub burst: Option<Window>,
    /// The smallest workspace sends this many times the whole pool's rate on top, within the window.
    pub hot_client: Option<Window>,
    /// Within the window, half of all requests use one task, and which one changes every 10 s.
    pub hot_prefix: bool,
    /// Percentage of requests that are long jobs.
    pub long_percent: u32,
}

/// A factor within a span of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    /// Start, inclusive.
    pub from: Duration,
    /// End, exclusive.
    pub until: Duration,
    /// The factor.
    pub factor: f64,
}

impl Window {
    fn at(&self, now: Duration) -> f64 {
        if self.from <= now && now < self.until {
            self.factor
        } else {
            0.0
        }
    }
}

/// Time over which the rate rises to its full value. With empty caches, a full load would be several times the capacity
/// of the engines.
const RAMP: Duration = Duration::from_secs(30);
/// Initial share of the full rate.
const RAMP_FROM: f64 = 0.2;
/// How long a hot prefix stays the same.
const HOT_SPAN: Duration = Duration::from_secs(10);

/// Generates all requests of one run, ordered by time.
pub fn requests(deployment: &Deployment, shape: &Shape, rate: f64, length: Duration, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let peak =
        rate * (shape.burst.map_or(1.0, |window| window.factor) + shape.hot_client.map_or(0.0, |hot| hot.factor));
    let gaps = Exp::new(peak).expect("the rate is positive");
    let mut now = Duration::ZERO;
    let mut all = Vec::new();
    loop {
        now += Duration::from_secs_f64(gaps.sample(&mut rng));
        if now >= length {
            return all;
        }
        let ramp = (now.as_secs_f64() / RAMP.as_secs_f64()).clamp(RAMP_FROM, 1.0);
        let plain = ramp * shape.burst.map_or(1.0, |burst| burst.at(now).max(1.0));
        let hot = shape.hot_client.map_or(0.0, |window| window.at(now));
        let drawn = rng.random::<f64>() * peak / rate;
        let mut request = draw(deployment, shape, now, &mut rng);
        if drawn < plain {
            all.push(request);
        } else if drawn < plain + hot {
            let workspace = deployment.workspaces - 1;
            request.chain = chain(
                workspace,
                [skewed(TENANTS, &mut rng), skewed(TASKS, &mut rng)],
                &mut rng,
            );
            request.workspace = workspace;
            all.push(request);
        }
    }
}

fn draw(deployment: &Deployment, shape: &Shape, now: Duration, rng: &mut ChaCha8Rng) -> Request {
    let mut workspace = skewed(deployment.workspaces as u64, rng) as usize;
    let mut layers = [skewed(TENANTS, rng), skewed(TASKS, rng)];
    if shape.hot_prefix && rng.random::<bool>() {
        let span = now.as_secs() / HOT_SPAN.as_secs();
        workspace = 1;
        layers = [span % TENANTS, 0];
    }
    let long = rng.random_range(0..100) < shape.long_percent;
    let drawn = LogNormal::new(OUTPUT.0.ln(), OUTPUT.1)
        .expect("the spread is positive")
        .sample(rng);
    let output = if long {
        LONG_OUTPUT
    } else {
        drawn.clamp(1.0, 500.0) as u32
    };
    Request {
        sent: now,
        workspace,
        router: rng.random_range(0..deployment.routers),
        chain: chain(workspace, layers, rng),
        tail: rng.random_range(1..crate::deployment::BLOCK_TOKENS),
        output,
        timeout: if long {
            Duration::from_secs(90)
        } else {
            Duration::from_secs(15)
        },
    }
}

/// A number below `count`, 0 the most frequent.
fn skewed(count: u64, rng: &mut ChaCha8Rng) -> u64 {
    let zipf = Zipf::new(count as f64, SKEW).expect("the skew is positive");
    zipf.sample(rng) as u64 - 1
}

fn chain(workspace: usize, layers: [u64; 2], rng: &mut ChaCha8Rng) -> Rc<PrefixChain> {
    let seed = mix(workspace as u64 + 1);
    let ends = [
        BASE_BLOCKS,
        BASE_BLOCKS + TENANT_BLOCKS,
        BASE_BLOCKS + TENANT_BLOCKS + TASK_BLOCKS,
    ];
    let own = rng.random_range(0..=OWN_BLOCKS);
    let mut last = seed;
    let mut blocks = Vec::with_capacity(ends[2] + own);
    for at in 0..ends[2] + own {
        let content = match at {
            at if at < ends[0] => 0,
            at if at < ends[1] => layers[0] + 1,
            at if at < ends[2] => layers[1] + 1,
            _ => rng.next_u64(),
        };
        last = mix(last ^ mix(content ^ (at as u64) << 40));
        blocks.push(last);
    }
    Rc::new(PrefixChain::from_hashes(seed, blocks, &ends))
}

/// Finalizer of the SplitMix64 generator (Steele, Lea, Flood 2014).
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
