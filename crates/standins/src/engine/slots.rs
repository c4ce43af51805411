//! Places in the running batch, and the queue before them: lowest rank first, then first come.

use async_channel::{Receiver, Sender};
use futures::future::{Either, select};
use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};

/// The batch's places.
#[derive(Debug)]
pub struct Slots {
    limit: u32,
    most_waiting: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    newest: u64,
    waiting: BTreeMap<(u8, u64), Sender<()>>,
}

/// A place in the batch, given back when dropped.
#[derive(Debug)]
pub struct Permit(Arc<Slots>);

/// What asking for a place came to.
#[derive(Debug)]
pub enum Entered {
    /// A place.
    Running(Permit),
    /// The queue is full.
    Full,
    /// Cancelled while waiting.
    Cancelled,
}

impl Slots {
    /// `limit` places and a queue of `most_waiting`.
    pub fn new(limit: u32, most_waiting: usize) -> Self {
        Self {
            limit,
            most_waiting,
            state: Mutex::default(),
        }
    }

    /// Requests running and waiting.
    pub fn counts(&self) -> (u32, u32) {
        let state = self.lock();
        (state.running, u32::try_from(state.waiting.len()).unwrap_or(u32::MAX))
    }

    /// Waits for a place until `cancel` closes.
    pub async fn enter(self: &Arc<Self>, rank: u8, cancel: &Receiver<()>) -> Entered {
        let (key, turn) = {
            let mut state = self.lock();
            if state.running < self.limit {
                state.running += 1;
                return Entered::Running(Permit(self.clone()));
            }
            if state.waiting.len() >= self.most_waiting {
                return Entered::Full;
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.newest += 1;
            let key = (rank, state.newest);
            state.waiting.insert(key, sender);
            (key, receiver)
        };
        if let Either::Left((Ok(()), _)) = select(pin!(turn.recv()), pin!(cancel.recv())).await {
            return Entered::Running(Permit(self.clone()));
        }
        self.lock().waiting.remove(&key);
        if turn.try_recv().is_ok() {
            // The place came at the same moment as the cancellation: pass it on.
            drop(Permit(self.clone()));
        }
        Entered::Cancelled
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
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
