//! The configuration of a run: sizes, failure domains and mix of calls.

use serde::{Deserialize, Serialize};

/// A deployment and the load on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the record.
    pub name: String,
    /// Failure domains. Routers and endpoints are distributed over them round-robin.
    pub domains: Vec<String>,
    /// Routers.
    pub routers: usize,
    /// The model pool.
    pub engines: EngineSpec,
    /// The plain service.
    pub service: ServiceSpec,
    /// Relative weight of each workspace's calls.
    pub workspaces: Vec<f64>,
    /// The prompts.
    pub prompts: PromptSpec,
    /// The mix of calls.
    pub mix: MixSpec,
}

/// The model pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Name of the model.
    pub model: String,
    /// Number of engines.
    pub count: usize,
    /// Cache size of each engine in blocks.
    pub blocks: usize,
    /// Maximum number of concurrent requests of each engine.
    pub slots: u32,
    /// Prompt tokens per second that each engine prefills.
    pub prefill_rate: u64,
    /// Milliseconds to decode a token.
    pub decode_ms: f64,
    /// Whether the engines refuse old fencing numbers.
    pub fenced: bool,
}

/// The plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service name in the path.
    pub name: String,
    /// Number of runners.
    pub count: usize,
    /// Duration of a call in milliseconds.
    pub work_ms: u64,
    /// Path of the idempotent operation.
    pub idempotent: String,
    /// Path of the operation that must run at most once.
    pub single: String,
}

/// Prompts: base, then tenant layer, then task layer, then the question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptSpec {
    /// Blocks of the base.
    pub base_blocks: usize,
    /// Blocks of a tenant layer.
    pub tenant_blocks: usize,
    /// Blocks of a task layer.
    pub task_blocks: usize,
    /// Bytes of a question.
    pub question_bytes: usize,
    /// Tasks of each workspace.
    pub tasks: usize,
    /// Exponent of the tasks' popularity.
    pub skew: f64,
    /// Seconds after which other tasks become popular.
    pub shift_seconds: f64,
    /// Generated tokens per answer.
    pub max_tokens: u32,
}

/// Shares of the kinds of calls, 0 to 1.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixSpec {
    /// Share of calls to the plain service.
    pub service: f64,
    /// Share of service calls that must run at most once.
    pub single: f64,
    /// Share of at-most-once calls without an idempotency key.
    pub keyless: f64,
    /// Share of completions that are streamed.
    pub streamed: f64,
    /// Share of completions that use the chat API.
    pub chat: f64,
}

impl Scenario {
    /// The Board: four failure domains, 12 engines, 4 runners of the silo service.
    pub fn board() -> Self {
        Self {
            name: "board".to_owned(),
            domains: ["lahore", "multan", "faisalabad", "bahawalpur"]
                .map(str::to_owned)
                .to_vec(),
            routers: 4,
            engines: EngineSpec {
                model: "advisory".to_owned(),
                count: 12,
                ..EngineSpec::small()
            },
            service: ServiceSpec {
                name: "silo".to_owned(),
                count: 4,
                work_ms: 5,
                idempotent: "/probes".to_owned(),
                single: "/fans".to_owned(),
            },
            workspaces: vec![8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 0.5, 0.5],
            prompts: PromptSpec::long(),
            mix: MixSpec {
                service: 0.4,
                single: 0.5,
                keyless: 0.1,
                streamed: 0.7,
                chat: 0.3,
            },
        }
    }

    /// Kovács: three failure domains, 9 engines, 3 runners of the order desk.
    pub fn kovacs() -> Self {
        Self {
            name: "kovacs".to_owned(),
            domains: ["kecskemet", "szeged", "bekes"].map(str::to_owned).to_vec(),
            routers: 3,
            engines: EngineSpec {
                model: "artwork".to_owned(),
                count: 9,
                fenced: false,
                ..EngineSpec::small()
            },
            service: ServiceSpec {
                name: "orders".to_owned(),
                count: 3,
                work_ms: 8,
                idempotent: "/confirmations".to_owned(),
                single: "/reservations".to_owned(),
            },
            workspaces: vec![6.0, 6.0, 2.0, 1.0, 1.0, 1.0, 0.5, 0.5],
            prompts: PromptSpec {
                skew: 1.3,
                ..PromptSpec::long()
            },
            mix: MixSpec {
                service: 0.5,
                single: 0.4,
                keyless: 0.1,
                streamed: 0.4,
                chat: 0.3,
            },
        }
    }
}

impl EngineSpec {
    fn small() -> Self {
        Self {
            model: String::new(),
            count: 0,
            blocks: 96,
            slots: 16,
            prefill_rate: 20_000,
            decode_ms: 5.0,
            fenced: true,
        }
    }
}

impl PromptSpec {
    fn long() -> Self {
        Self {
            base_blocks: 2,
            tenant_blocks: 3,
            task_blocks: 2,
            question_bytes: 400,
            tasks: 12,
            skew: 1.1,
            shift_seconds: 20.0,
            max_tokens: 24,
        }
    }
}
