//! Generates the arrivals of an open-loop workload from a seed, in advance. Does no I/O and reads no clock.
//!
//! Arrivals don't wait for answers. In a closed loop, a slow system would receive fewer calls and its waiting times
//! would not be measured.

use crate::scenario::{MixSpec, PromptSpec, Scenario};
use rand::distr::weighted::WeightedIndex;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::time::Duration;

/// Bytes of a cache block.
pub const BLOCK_BYTES: usize = 4096;
const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz ";
/// The rendered text before the first message of a chat.
const SYSTEM: &str = "system\n";

/// A call that arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// The number of the call.
    pub number: usize,
    /// The workspace of the client.
    pub workspace: usize,
    /// The kind of call.
    pub kind: Kind,
}

/// The kind of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A completion over this task of the workspace.
    Completion {
        /// The task.
        task: usize,
        /// Whether it is streamed.
        streamed: bool,
        /// Whether it uses the chat API.
        chat: bool,
    },
    /// An idempotent call.
    Idempotent,
    /// A call that must run at most once.
    Single {
        /// Whether it has an idempotency key.
        keyed: bool,
    },
}

/// The texts of the prompt layers.
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
    /// The complete prompt as the engine receives it.
    pub rendered: String,
}

/// Generates the arrivals for `seconds` at `rate` calls per second.
pub fn arrivals(scenario: &Scenario, seed: u64, seconds: f64, rate: f64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let pause = Exp::new(rate).expect("a positive rate");
    let shares = WeightedIndex::new(&scenario.workspaces).expect("positive shares");
    let popularity = Zipf::new(scenario.prompts.tasks as f64, scenario.prompts.skew).expect("a positive exponent");
    let mut all = Vec::new();
    let mut at = pause.sample(&mut random);
    while at < seconds {
        let workspace = shares.sample(&mut random);
        let rank = popularity.sample(&mut random) as usize - 1;
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

/// The number of tasks by which the popularity ranking has shifted.
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
    /// Generates the layers of all workspaces and tasks.
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

    /// Builds the prompt of one call; `number` is the seed of its question.
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
