//! The budget of bytes held for slow readers: tasks reserve, wait and learn that they are to close their connection.
//!
//! Nothing here refers to the rest of the router. [`dispatch::held_bytes`] decides.

use async_std::task;
use clock::Clock;
use dispatch::held_bytes::{HeldBytes, HolderId, MAX_HELD_BYTES, NextRead};
use futures::channel::oneshot;
use futures::future::{Either, select};
use prometheus::{IntCounterVec, IntGauge};
use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which a holder without room asks again: short compared with the pause after which one is closed.
const PAUSE_POLL: Duration = Duration::from_millis(20);

/// The connection must be closed, because its bytes are needed for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// How room for a read was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// At once.
    Free,
    /// After a pause, during which nothing was read.
    AfterPause,
}

/// What a holder holds bytes of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// A response that isn't a stream, until the client has read it.
    Response,
    /// Events of a stream that the client has not read, or that are not complete.
    Stream,
}

impl HeldKind {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Stream => "stream",
        }
    }
}

/// The budget of this process.
pub struct HeldBudget {
    clock: Clock,
    state: Mutex<State>,
    gauge: IntGauge,
    closed: IntCounterVec,
}

struct State {
    held: HeldBytes,
    /// Dropped to tell a holder that it is to be closed.
    signals: HashMap<HolderId, (HeldKind, oneshot::Sender<()>)>,
}

impl HeldBudget {
    /// Nothing is held yet. `gauge` shows the bytes held, `closed` counts connections that are closed for room.
    pub fn new(clock: Clock, gauge: IntGauge, closed: IntCounterVec) -> Self {
        Self {
            clock,
            state: Mutex::new(State {
                held: HeldBytes::new(MAX_HELD_BYTES),
                signals: HashMap::new(),
            }),
            gauge,
            closed,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_read(&self, id: HolderId) -> NextRead {
        let mut state = self.lock();
        let next = state.held.next_read(id, self.clock.now());
        let NextRead::Close(closing) = next else {
            return next;
        };
        let (bytes, used) = (state.held.bytes(closing), state.held.used());
        let signal = state.signals.remove(&closing);
        drop(state);
        if let Some((kind, _)) = signal {
            self.closed.with_label_values(&[kind.name()]).inc();
            log::warn!(kind = kind.name(), bytes = bytes, held = used; "held bytes: connection closed for room");
        }
        next
    }
}

/// Bytes that a task holds, until dropped.
pub struct Hold {
    budget: Arc<HeldBudget>,
    kind: HeldKind,
    /// Absent until there is something to count, since most responses are passed on at once.
    holder: Option<(HolderId, oneshot::Receiver<()>)>,
}

impl Hold {
    /// Holds nothing yet.
    pub fn new(budget: &Arc<HeldBudget>, kind: HeldKind) -> Self {
        Self {
            budget: budget.clone(),
            kind,
            holder: None,
        }
    }

    /// Sets how many bytes are held.
    pub fn set(&mut self, bytes: usize) {
        if bytes == 0 && self.holder.is_none() {
            return;
        }
        let id = self.id();
        let mut state = self.budget.lock();
        state.held.set(id, bytes);
        self.budget.gauge.set(state.held.used() as i64);
    }

    /// Whether there is room to read on ahead of the reader.
    pub fn has_room_ahead(&self) -> bool {
        self.budget.lock().held.has_room_ahead()
    }

    fn has_room(&self) -> bool {
        self.budget.lock().held.has_room()
    }

    /// Waits until there is room for one read that the task can't do without.
    ///
    /// # Errors
    /// The connection is to be closed.
    pub async fn room(&mut self) -> Result<Room, NoRoom> {
        if self.holder.is_none() && self.has_room() {
            return Ok(Room::Free);
        }
        let id = self.id();
        let mut room = Room::Free;
        loop {
            if self.is_closed() {
                return Err(NoRoom);
            }
            match self.budget.next_read(id) {
                NextRead::Read => return Ok(room),
                NextRead::Pause | NextRead::Close(_) => {
                    room = Room::AfterPause;
                    task::sleep(PAUSE_POLL).await;
                }
            }
        }
    }

    /// Awaits `future` while the connection may stay open.
    ///
    /// # Errors
    /// The connection is to be closed.
    pub async fn unless_closed<T>(&mut self, future: impl Future<Output = T>) -> Result<T, NoRoom> {
        let future = pin!(future);
        let Some((_, closed)) = &mut self.holder else {
            return Ok(future.await);
        };
        match select(future, closed).await {
            Either::Left((done, _)) => Ok(done),
            // The sender was dropped.
            Either::Right(_) => Err(NoRoom),
        }
    }

    fn is_closed(&mut self) -> bool {
        let signal = self.holder.as_mut().map(|(_, signal)| signal.try_recv());
        matches!(signal, Some(Err(_)))
    }

    fn id(&mut self) -> HolderId {
        if let Some((id, _)) = &self.holder {
            return *id;
        }
        let (sender, receiver) = oneshot::channel();
        let mut state = self.budget.lock();
        let id = state.held.open(self.budget.clock.now());
        state.signals.insert(id, (self.kind, sender));
        drop(state);
        self.holder = Some((id, receiver));
        id
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some((id, _)) = &self.holder {
            let mut state = self.budget.lock();
            state.held.close(*id);
            state.signals.remove(id);
            self.budget.gauge.set(state.held.used() as i64);
        }
    }
}
