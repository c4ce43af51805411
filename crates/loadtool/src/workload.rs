//! Which calls arrive when: an open loop, drawn from a seed beforehand. No I/O, no clock.
//!
//! Arrivals don't wait for answers. With a closed loop a slow system would get fewer calls and its waiting times would
//! not be seen.

use crate::scenario::{MixSpec, PromptSpec, Scenario};
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// Bytes of a cache block.
pub const BLOCK_BYTES: usize = 4096;
const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";
/// Rendered before the first message of a chat.
const SYSTEM: &str = "system\n";

/// A call that arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, since the start.
    pub at: Duration,
    /// Its number.
    pub number: usize,
    /// Workspace that calls.
    pub workspace: usize,
    /// What it calls.
    pub kind: Kind,
}

/// What is called.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A completion over this task of the workspace.
    Completion {
        /// The task.
        task: usize,
        /// Whether it is streamed.
        streamed: bool,
        /// Whether it has the chat form.
        chat: bool,
    },
    /// A call that may be repeated.
    Idempotent,
    /// A call that may not be repeated, with an idempotency key or without.
    Single {
        /// Whether it has a key.
        keyed: bool,
    },
}

/// Texts of the prompts' layers.
#[derive(Debug, Clone)]
pub struct Prompts {
    base: String,
    tenants: Vec<String>,
    tasks: Vec<Vec<String>>,
    question_bytes: usize,
}

/// A prompt ready to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Base, tenant and task layer.
    pub shared: String,
    /// The question.
    pub question: String,
    /// Ends of the nested levels in the rendered prompt.
    pub levels: [usize; 3],
    /// The whole as the engine sees it.
    pub rendered: String,
}

/// All arrivals of `seconds` at `rate` a second.
pub fn arrivals(scenario: &Scenario, seed: u64, seconds: f64, rate: f64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let pause = Exp::new(rate).expect("a positive rate");
    let shares = WeightedIndex::new(&scenario.workspaces).expect("positive shares");
    let popular = Zipf::new(scenario.prompts.tasks as f64, scenario.prompts.skew).expect("a positive exponent");
    let mut all = Vec::new();
    let mut at = pause.sample(&mut random);
    while at < seconds {
        let workspace = shares.sample(&mut random);
        let rank = popular.sample(&mut random) as usize - 1;
        let task = (rank + shift(&scenario.prompts, at)) % scenario.prompts.tasks;
        let kind = kind(&mut random, &scenario.mix, task);
        all.push(Arrival {
            at: Duration::from_secs_f64(at),
            number: all.len(),
            workspace,
            kind,
        });
        at += pause.sample(&mut random);
    }
    all
}

/// By how many tasks the popular ones have moved on.
fn shift(prompts: &PromptSpec, at: f64) -> usize {
    const STEP: usize = 5;
    (at / prompts.shift_seconds) as usize * STEP
}

fn kind(random: &mut impl Rng, mix: &MixSpec, task: usize) -> Kind {
    if !random.random_bool(mix.service) {
        return Kind::Completion {
            task,
            streamed: random.random_bool(mix.streamed),
            chat: random.random_bool(mix.chat),
        };
    }
    if !random.random_bool(mix.single) {
        return Kind::Idempotent;
    }
    Kind::Single {
        keyed: !random.random_bool(mix.keyless),
    }
}

impl Prompts {
    /// The layers of all workspaces and tasks.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let spec = &scenario.prompts;
        let mut layer = |blocks: usize| text(&mut random, blocks * BLOCK_BYTES);
        let base = layer(spec.base_blocks);
        let tenants: Vec<String> = scenario.workspaces.iter().map(|_| layer(spec.tenant_blocks)).collect();
        let tasks = tenants
            .iter()
            .map(|_| (0..spec.tasks).map(|_| layer(spec.task_blocks)).collect())
            .collect();
        Self {
            base,
            tenants,
            tasks,
            question_bytes: spec.question_bytes,
        }
    }

    /// The prompt of one call; `number` makes its question.
    pub fn prompt(&self, workspace: usize, task: usize, number: usize, chat: bool) -> Prompt {
        let mut random = ChaCha8Rng::seed_from_u64(number as u64);
        let question = text(&mut random, self.question_bytes);
        let before = if chat { SYSTEM.len() } else { 0 };
        let layers = [&self.base, &self.tenants[workspace], &self.tasks[workspace][task]];
        let mut end = before;
        let levels = layers.map(|layer| {
            end += layer.len();
            end
        });
        let shared = layers.map(String::as_str).concat();
        let rendered = match chat {
            true => format!("{SYSTEM}{shared}\nuser\n{question}\n"),
            false => format!("{shared}{question}"),
        };
        Prompt {
            shared,
            question,
            levels,
            rendered,
        }
    }
}

fn text(random: &mut impl Rng, bytes: usize) -> String {
    (0..bytes)
        .map(|_| char::from(LETTERS[random.random_range(0..LETTERS.len())]))
        .collect()
}
