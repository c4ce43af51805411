//! The router's shutdown, as seen by the tasks that serve requests.

use async_channel::{Receiver, Sender};
use dispatch::shutdown::Shutdown;
use futures::future::{Either, select};
use std::future::Future;
use std::pin::pin;
use std::sync::OnceLock;
use std::time::Duration;

/// Progress of the shutdown.
#[derive(Debug)]
pub struct Stop {
    times: OnceLock<Shutdown>,
    accepting: Gate,
    serving: Gate,
}

/// Open until it is closed. Nothing is ever sent through the channel.
#[derive(Debug)]
struct Gate(Sender<()>, Receiver<()>);

impl Default for Gate {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self(sender, receiver)
    }
}

impl Gate {
    async fn closed(&self) {
        // Fails once the gate is closed.
        let _ = self.1.recv().await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            times: OnceLock::new(),
            accepting: Gate::default(),
            serving: Gate::default(),
        }
    }
}

impl Stop {
    /// Begins the shutdown. Only the first call has an effect.
    pub fn begin(&self, times: Shutdown) {
        // A second shutdown has the times of the first one.
        let _ = self.times.set(times);
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Whether a request that was not sent may be sent now.
    pub fn may_send(&self, now: Duration, deadline: Duration) -> bool {
        self.times.get().is_none_or(|times| times.may_send(now, deadline))
    }

    /// Stops accepting requests. Returns whether that is new.
    pub fn close_intake(&self) -> bool {
        self.accepting.0.close()
    }

    /// Resolves when the router stops accepting requests.
    pub async fn intake_closed(&self) {
        self.accepting.closed().await;
    }

    /// Ends the requests in flight. Returns whether that is new.
    pub fn end_service(&self) -> bool {
        self.serving.0.close()
    }

    /// The result of `future`, or `None` if the requests in flight are ended before.
    pub async fn unless_ended<F: Future>(&self, future: F) -> Option<F::Output> {
        match select(pin!(future), pin!(self.serving.closed())).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }
}
