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

const MOST_SENT: usize = 64;

/// An engine's stand-in.
#[derive(Debug, Clone, FromArgs)]
pub struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// its endpoint id
    #[argh(option, default = "String::from(\"engine\")")]
    pub id: String,
    /// the model it serves
    #[argh(option, default = "String::from(\"model\")")]
    pub model: String,
    /// the weights it starts with
    #[argh(option, default = "String::from(\"w1\")")]
    pub weights: String,
    /// this life's number; the time of the start in milliseconds by default
    #[argh(option)]
    pub incarnation: Option<u64>,
    /// blocks of cache
    #[argh(option, default = "256")]
    pub blocks: usize,
    /// tokens of a block, of four bytes each
    #[argh(option, default = "1024")]
    pub block_tokens: usize,
    /// requests that run at once
    #[argh(option, default = "32")]
    pub slots: u32,
    /// requests that wait
    #[argh(option, default = "256")]
    pub max_queue: usize,
    /// prompt tokens prefilled a second by the whole batch; 0: at once
    #[argh(option, default = "0")]
    pub prefill_rate: u64,
    /// milliseconds of a decoded token; 0: at once
    #[argh(option, default = "0.0")]
    pub decode_ms: f64,
    /// milliseconds of loading weights
    #[argh(option, default = "400")]
    pub load_ms: u64,
    /// how late cache events show, milliseconds
    #[argh(option, default = "100")]
    pub event_lag_ms: u64,
    /// how far the load report lags, milliseconds; 0: not at all
    #[argh(option, default = "100")]
    pub report_lag_ms: u64,
    /// refuses orders with an old fencing number
    #[argh(switch)]
    pub fenced: bool,
    /// engines in this process, each at an address of its own
    #[argh(option, default = "1")]
    pub copies: usize,
    /// seed of the lost events
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// Its settings.
    pub args: Args,
    /// Its connections.
    pub connections: Arc<Connections>,
    /// Held by the order that is carried out.
    pub order: AsyncMutex<()>,
    start: Instant,
    state: Mutex<State>,
}

/// What changes.
#[derive(Debug)]
pub struct State {
    /// This life.
    pub incarnation: Incarnation,
    /// The model.
    pub model: ModelId,
    /// The weights, absent while it loads.
    pub weights: Option<WeightsVersion>,
    /// Its part of the work.
    pub role: EngineRole,
    /// Highest fencing number seen.
    pub fence: Fence,
    /// Places in the batch.
    pub slots: Arc<Slots>,
    /// Cached blocks.
    pub cache: BlockCache,
    /// Cache events.
    pub events: EventLog,
    /// Requests that can be cancelled.
    pub requests: HashMap<String, Sender<()>>,
    /// Requests being prefilled, and tokens they still need.
    pub prefilling: (u32, u64),
    /// The fault switch.
    pub fault: Fault,
    /// The last answers as sent, oldest first.
    pub sent: VecDeque<(String, Vec<u8>)>,
    /// The report as last made.
    pub report: Option<Load>,
    random: ChaCha8Rng,
}

/// A life's number from the time of its start.
pub fn fresh_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(1)
}

impl Engine {
    /// An engine in its first life.
    pub fn new(args: Args) -> Self {
        let incarnation = Incarnation(args.incarnation.unwrap_or_else(fresh_incarnation));
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

    /// The state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Comes back empty, cutting every connection but the one of the call that asked for it.
    pub fn crash(&self, spared: u64) {
        let mut state = self.lock();
        let incarnation = Incarnation(state.incarnation.0 + 1);
        *state = State::new(&self.args, incarnation);
        self.connections.cut_others(spared);
    }

    /// Announces cache changes, late and perhaps not at all.
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

    /// Registers a request; its receiver closes when it is cancelled or its id is used again.
    pub fn register(&mut self, request: &str) -> (Sender<()>, Receiver<()>) {
        let (sender, receiver) = async_channel::bounded(1);
        if let Some(old) = self.requests.insert(request.to_owned(), sender.clone()) {
            old.close();
        }
        (sender, receiver)
    }

    /// Forgets a request unless its id was used again.
    pub fn unregister(&mut self, request: &str, own: &Sender<()>) {
        if self
            .requests
            .get(request)
            .is_some_and(|sender| sender.same_channel(own))
        {
            self.requests.remove(request);
        }
    }

    /// Keeps an answer as sent.
    pub fn keep_sent(&mut self, request: String, bytes: Vec<u8>) {
        self.sent.push_back((request, bytes));
        if self.sent.len() > MOST_SENT {
            self.sent.pop_front();
        }
    }

    /// The load as it is now.
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
