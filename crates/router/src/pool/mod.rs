//! One model's engines or one service's runners, as traffic uses them: who starts, where, and what came of it.
//!
//! The decisions are made by the `admission` and `placement` crates; this module holds their state behind one
//! lock, which is never held across an await, and lets tasks wait for their turn.

mod flight;
mod member;
mod permit;
mod state;

use crate::view::{Target, View};
use admission::{Job, Offer, Refusal};
use clock::Clock;
use futures::channel::oneshot;
use placement::PrefixChain;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub use flight::Flight;
pub use permit::Permit;
pub use state::{Around, PoolStatus, Wish};

use permit::{Turn, Waiting};
use state::State;

/// All pools by target.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Mutex<HashMap<Target, Arc<Pool>>>,
}

impl Pools {
    /// The pool of `target`, if the configuration has one.
    pub fn get(&self, target: &Target) -> Option<Arc<Pool>> {
        lock(&self.pools).get(target).cloned()
    }

    /// Takes over a new view: pools and members come and go, what was learnt of the others stays.
    pub fn apply(&self, view: &View, around: &Around<'_>, clock: Clock) {
        let mut pools = lock(&self.pools);
        pools.retain(|target, _| view.targets().any(|wanted| wanted == target));
        for target in view.targets() {
            let pool = pools
                .entry(target.clone())
                .or_insert_with(|| Arc::new(Pool::new(clock)));
            pool.change(|state| state.apply(view, target, around, clock.now()));
        }
    }

    /// Lets expired and startable jobs of all pools go on; called several times a second.
    pub fn tick(&self) {
        for pool in self.all() {
            pool.change(|_| ());
        }
    }

    /// Whether any job waits for its turn.
    pub fn waiting(&self) -> bool {
        self.all().iter().any(|pool| !lock(&pool.state).waiters.is_empty())
    }

    /// State of each pool for operators.
    pub fn status(&self) -> Vec<(Target, PoolStatus)> {
        let pools = lock(&self.pools);
        let mut list: Vec<_> = pools
            .iter()
            .map(|(target, pool)| (target.clone(), lock(&pool.state).status()))
            .collect();
        list.sort_by(|a, b| a.0.cmp(&b.0));
        list
    }

    /// How crowded endpoints have been, in thousandths, for routers that start.
    pub fn pressures(&self) -> Vec<(u64, u32)> {
        let pools = self.all();
        pools.iter().flat_map(|pool| lock(&pool.state).pressures()).collect()
    }

    /// Starts from what another router knew of how crowded endpoints have been.
    pub fn assume(&self, pressures: &[(u64, u32)]) {
        for pool in self.all() {
            pool.change(|state| state.assume(pressures));
        }
    }

    /// Applies `act` to each pool that has `endpoint` as member.
    pub fn with_member(&self, endpoint: &ids::EndpointId, act: impl Fn(&mut State, placement::EndpointKey)) {
        let key = placement::EndpointKey::from(endpoint);
        for pool in self.all() {
            pool.change(|state| {
                if state.has(key) {
                    act(state, key);
                }
            });
        }
    }

    fn all(&self) -> Vec<Arc<Pool>> {
        lock(&self.pools).values().cloned().collect()
    }
}

/// One pool.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    state: Mutex<State>,
}

impl Pool {
    fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Mutex::new(State::new()),
        }
    }

    /// Waits for a slot of the pool. Dropping the future gives up the place in the queue.
    ///
    /// # Errors
    /// The job is refused and has not run.
    pub async fn enter(self: &Arc<Self>, job: Job) -> Result<Permit, Refusal> {
        let waiting = {
            let mut state = lock(&self.state);
            match state.admission.offer(&job, self.clock.now()) {
                Offer::Start(ticket) => return Ok(Permit::new(self.clone(), ticket)),
                Offer::Refuse(refusal) => return Err(refusal),
                Offer::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (Waiting::new(self.clone(), ticket), receiver)
                }
            }
        };
        let (mut place, receiver) = waiting;
        // The sender lives in the pool until it has spoken, so an error cannot happen before the pool's end.
        let turn = receiver.await.unwrap_or(Turn::Refused(Refusal {
            reason: admission::Reason::NoCapacity,
            retry_after: None,
        }));
        place.spoken();
        match turn {
            Turn::Start(permit) => Ok(permit),
            Turn::Refused(refusal) => Err(refusal),
        }
    }

    /// Blocks of `chain` that the best endpoint is expected to have, for the job's cost estimate.
    pub fn expected_blocks(&self, chain: &PrefixChain) -> usize {
        lock(&self.state).expected_blocks(chain, self.clock.now())
    }

    /// Changes the state, then lets jobs start or expire.
    fn change<T>(self: &Arc<Self>, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = lock(&self.state);
        let result = act(&mut state);
        let turns = state.turns(self, self.clock.now());
        drop(state);
        for (sender, turn) in turns {
            // A waiter that has gone gives its permit back by dropping it, which needs the lock: so it is free here.
            let _ = sender.send(turn);
        }
        result
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
