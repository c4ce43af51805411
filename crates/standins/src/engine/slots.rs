//! The slots of the running batch and their queue, ordered by priority (lowest first), then by arrival.

use async_channel::{Receiver, Sender};
use futures::future::{Either, select};
use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};

/// The slots of the batch.
#[derive(Debug)]
pub struct Slots {
    limit: u32,
    max_waiting: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    last_ticket: u64,
    waiting: BTreeMap<(u8, u64), Sender<()>>,
}

/// A slot in the batch, released on drop.
#[derive(Debug)]
pub struct Permit(Arc<Slots>);

/// The outcome of [`Slots::enter`].
#[derive(Debug)]
pub enum EnterOutcome {
    /// A slot was acquired.
    Running(Permit),
    /// The queue is full.
    Full,
    /// Cancelled while waiting.
    Cancelled,
}

impl Slots {
    /// Creates `limit` slots and a queue of at most `max_waiting` requests.
    pub fn new(limit: u32, max_waiting: usize) -> Self {
        Self {
            limit,
            max_waiting,
            state: Mutex::default(),
        }
    }

    /// The number of running and of waiting requests.
    pub fn counts(&self) -> (u32, u32) {
        let state = self.lock();
        (state.running, u32::try_from(state.waiting.len()).unwrap_or(u32::MAX))
    }

    /// Waits for a slot until `cancel` closes.
    pub async fn enter(self: &Arc<Self>, priority: u8, cancel: &Receiver<()>) -> EnterOutcome {
        let (key, admitted) = {
            let mut state = self.lock();
            if state.running < self.limit {
                state.running += 1;
                return EnterOutcome::Running(Permit(self.clone()));
            }
            if state.waiting.len() >= self.max_waiting {
                return EnterOutcome::Full;
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.last_ticket += 1;
            let key = (priority, state.last_ticket);
            state.waiting.insert(key, sender);
            (key, receiver)
        };
        if let Either::Left((Ok(()), _)) = select(pin!(admitted.recv()), pin!(cancel.recv())).await {
            return EnterOutcome::Running(Permit(self.clone()));
        }
        self.lock().waiting.remove(&key);
        if admitted.try_recv().is_ok() {
            // The slot was granted concurrently with the cancellation: release it to the next request.
            drop(Permit(self.clone()));
        }
        EnterOutcome::Cancelled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        while let Some((_, next)) = state.waiting.pop_first() {
            if next.try_send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}
