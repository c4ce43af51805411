//! The engine's settings and state.

use super::cache::{BlockCache, Change};
use super::events::EventLog;
use super::slots::Slots;
use crate::http::Connections;
use argh::FromArgs;
use async_channel::{Receiver, Sender};
use async_std::sync::Mutex as AsyncMutex;
use ids::{Fence, Incarnation, ModelId, WeightsVersion};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::engine::{EngineRole, Fault, Load};

const MAX_SENT_ANSWERS: usize = 64;

/// Stand-in for an inference engine.
#[derive(Debug, Clone, FromArgs)]
pub struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// endpoint id of the engine
    #[argh(option, default = "String::from(\"engine\")")]
    pub id: String,
    /// model that the engine serves
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// weights loaded at the start
    #[argh(option, default = "String::from(\"w1\")")]
    pub weights: String,
    /// incarnation number; default: start time in milliseconds
    #[argh(option)]
    pub incarnation: Option<u64>,
    /// cache size in blocks
    #[argh(option, default = "256")]
    pub blocks: usize,
    /// tokens in a block; a token is four bytes
    #[argh(option, default = "1024")]
    pub block_tokens: usize,
    /// maximum number of concurrent requests
    #[argh(option, default = "32")]
    pub slots: u32,
    /// maximum number of queued requests
    #[argh(option, default = "256")]
    pub max_queue: usize,
    /// prompt tokens prefilled per second by the whole batch; 0: no delay
    #[argh(option, default = "0")]
    pub prefill_rate: u64,
    /// milliseconds to decode a token; 0: no delay
    #[argh(option, default = "0.0")]
    pub decode_ms: f64,
    /// milliseconds to load weights
    #[argh(option, default = "400")]
    pub load_ms: u64,
    /// delay of cache events in milliseconds
    #[argh(option, default = "100")]
    pub event_lag_ms: u64,
    /// interval between updates of the load report in milliseconds; 0: always current
    #[argh(option, default = "100")]
    pub report_lag_ms: u64,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    pub fenced: bool,
    /// number of engines in this process, each with its own address
    #[argh(option, default = "1")]
    pub copies: usize,
    /// seed of the random choice of lost events
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// An engine instance.
#[derive(Debug)]
pub struct Engine {
    /// The settings.
    pub args: Args,
    /// The open connections.
    pub connections: Arc<Connections>,
    /// Held while an order is executed.
    pub order: AsyncMutex<()>,
    start: Instant,
    state: Mutex<State>,
}

/// The mutable state of an engine.
#[derive(Debug)]
pub struct State {
    /// The current incarnation.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// The weights; `None` while they are loading.
    pub weights: Option<WeightsVersion>,
    /// Whether the engine prefills, decodes or both.
    pub role: EngineRole,
    /// Highest fencing number seen.
    pub fence: Fence,
    /// The slots of the batch.
    pub slots: Arc<Slots>,
    /// Cached blocks.
    pub cache: BlockCache,
    /// Cache events.
    pub events: EventLog,
    /// Requests that can be cancelled.
    pub requests: HashMap<String, Sender<()>>,
    /// Requests being prefilled, and tokens they still need.
    pub prefilling: (u32, u64),
    /// The injected faults.
    pub fault: Fault,
    /// The bytes of the most recent answers, oldest first.
    pub sent: VecDeque<(String, Vec<u8>)>,
    /// The latest load report.
    pub report: Option<Load>,
    random: ChaCha8Rng,
}

/// Derives an incarnation number from the current time.
pub fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(1)
}

impl Engine {
    /// Creates an engine in its first incarnation.
    pub fn new(args: Args) -> Self {
        let incarnation = Incarnation(args.incarnation.unwrap_or_else(new_incarnation));
        let state = State::new(&args, incarnation);
        Self {
            args,
            connections: Arc::default(),
            order: AsyncMutex::new(()),
            start: Instant::now(),
            state: Mutex::new(state),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }

    /// Simulates a crash and restart: resets the state and closes all connections except the one that requested it.
    pub fn crash(&self, excluded: u64) {
        let mut state = self.lock();
        let incarnation = Incarnation(state.incarnation.0 + 1);
        *state = State::new(&self.args, incarnation);
        self.connections.close_others(excluded);
    }

    /// Publishes cache changes as events, delayed and subject to injected loss.
    pub fn announce(&self, state: &mut State, changes: Vec<Change>) {
        let visible = self.now() + Duration::from_millis(self.args.event_lag_ms);
        let percent = state.fault.lose_events_percent.unwrap_or(0);
        for change in changes {
            let lost = percent > 0 && state.random.random_range(0..100) < percent;
            state.events.add(visible, change, lost);
        }
    }
}

impl State {
    fn new(args: &Args, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            model: args.model.as_str().into(),
            weights: Some(args.weights.as_str().into()),
            role: EngineRole::Both,
            fence: Fence(0),
            slots: Arc::new(Slots::new(args.slots, args.max_queue)),
            cache: BlockCache::new(args.blocks),
            events: EventLog::default(),
            requests: HashMap::new(),
            prefilling: (0, 0),
            fault: Fault::default(),
            sent: VecDeque::new(),
            report: None,
            random: ChaCha8Rng::seed_from_u64(args.seed),
        }
    }

    /// Registers a request. The receiver closes when the request is cancelled or its id is reused.
    pub fn register(&mut self, request: &str) -> (Sender<()>, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        if let Some(old) = self.requests.insert(request.to_owned(), sender.clone()) {
            old.close();
        }
        (sender, receiver)
    }

    /// Removes a request unless its id has been reused.
    pub fn unregister(&mut self, request: &str, cancel_sender: &Sender<()>) {
        if self
            .requests
            .get(request)
            .is_some_and(|sender| sender.same_channel(cancel_sender))
        {
            self.requests.remove(request);
        }
    }

    /// Records the bytes of an answer as sent.
    pub fn record_sent(&mut self, request: String, bytes: Vec<u8>) {
        self.sent.push_back((request, bytes));
        if self.sent.len() > MAX_SENT_ANSWERS {
            self.sent.pop_front();
        }
    }

    /// The current load.
    pub fn load(&self) -> Load {
        let (running, waiting) = self.slots.counts();
        Load {
            incarnation: self.incarnation,
            model: self.model.clone(),
            weights: self.weights.clone(),
            leaving: self.fault.leaving == Some(true),
            running,
            waiting,
            prefill_tokens: self.prefilling.1,
            blocks: (self.cache.len() as u64, self.cache.capacity() as u64),
            newest_event: self.events.newest(),
        }
    }
}
