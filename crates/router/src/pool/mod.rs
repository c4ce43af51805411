//! Pools: the engines of one model or the runners of one service, with admission, placement and load.
//!
//! The decisions are made by the `admission` and `placement` crates. This module holds their state behind one lock,
//! which is never held across an await, and lets tasks wait for a slot.

mod attempt;
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

pub use attempt::EndpointAttempt;
pub use permit::Permit;
pub use state::{PickContext, PoolStatus, RouterContext};

use permit::{QueueOutcome, QueuePlace};
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

    /// Applies a new view: adds and removes pools and members, and keeps the learned state of the others.
    pub fn apply(&self, view: &View, router: &RouterContext<'_>, clock: Clock) {
        let mut pools = lock(&self.pools);
        pools.retain(|target, _| view.targets().any(|known| known == target));
        for target in view.targets() {
            let pool = pools
                .entry(target.clone())
                .or_insert_with(|| Arc::new(Pool::new(clock)));
            pool.change(|state| state.apply(view, target, router, clock.now()));
        }
    }

    /// Starts or expires waiting jobs of all pools; called several times a second.
    pub fn tick(&self) {
        for pool in self.all() {
            pool.change(|_| ());
        }
    }

    /// Whether any job is waiting.
    pub fn waiting(&self) -> bool {
        self.all().iter().any(|pool| !lock(&pool.state).waiters.is_empty())
    }

    /// Status of each pool for operators.
    pub fn status(&self) -> Vec<(Target, PoolStatus)> {
        let pools = lock(&self.pools);
        let mut list: Vec<_> = pools
            .iter()
            .map(|(target, pool)| (target.clone(), lock(&pool.state).status()))
            .collect();
        list.sort_by(|a, b| a.0.cmp(&b.0));
        list
    }

    /// Endpoint pressures (smoothed load relative to the mean of the pool) in thousandths, for routers that start.
    pub fn pressures(&self) -> Vec<(u64, u32)> {
        let pools = self.all();
        pools.iter().flat_map(|pool| lock(&pool.state).pressures()).collect()
    }

    /// Sets the initial endpoint pressures from those of another router.
    pub fn seed_pressures(&self, pressures: &[(u64, u32)]) {
        for pool in self.all() {
            pool.change(|state| state.seed_pressures(pressures));
        }
    }

    /// Calls `apply` for each pool that has `endpoint` as a member.
    pub fn with_member(&self, endpoint: &ids::EndpointId, apply: impl Fn(&mut State, placement::EndpointKey)) {
        let key = placement::EndpointKey::from(endpoint);
        for pool in self.all() {
            pool.change(|state| {
                if state.has(key) {
                    apply(state, key);
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

    /// Waits for a slot of the pool. Dropping the future removes the job from the queue.
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
                    (QueuePlace::new(self.clone(), ticket), receiver)
                }
            }
        };
        let (mut place, receiver) = waiting;
        // The pool keeps the sender until it sends an outcome, so receiving fails only if the pool is gone.
        let outcome = receiver.await.unwrap_or(QueueOutcome::Refused(Refusal {
            reason: admission::Reason::NoCapacity,
            retry_after: None,
        }));
        place.disarm();
        match outcome {
            QueueOutcome::Start(permit) => Ok(permit),
            QueueOutcome::Refused(refusal) => Err(refusal),
        }
    }

    /// Blocks of `chain` expected to be cached at the best endpoint, for the cost estimate of the job.
    pub fn expected_blocks(&self, chain: &PrefixChain) -> usize {
        lock(&self.state).expected_blocks(chain, self.clock.now())
    }

    /// Changes the state, then starts or expires waiting jobs.
    fn change<T>(self: &Arc<Self>, apply: impl FnOnce(&mut State) -> T) -> T {
        let mut state = lock(&self.state);
        let result = apply(&mut state);
        let outcomes = state.advance_queue(self, self.clock.now());
        drop(state);
        for (sender, outcome) in outcomes {
            // If the receiver is gone, the permit is dropped here, which takes the lock: it must be released first.
            let _ = sender.send(outcome);
        }
        result
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
