//! The platform's balancer and callers' kept connections: routers in turn, one that doesn't accept is passed over.

use standins::http::Client;
use std::net::SocketAddr;
use std::sync::Mutex;

const MOST_KEPT: usize = 64;

/// Routers and the connections to them.
#[derive(Debug, Default)]
pub struct Balancer {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: usize,
    routers: Vec<SocketAddr>,
    kept: Vec<(SocketAddr, Client)>,
}

impl Balancer {
    /// A balancer before these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Self {
        Self {
            state: Mutex::new(State {
                routers,
                ..State::default()
            }),
        }
    }

    /// The next router's address.
    pub fn next(&self) -> SocketAddr {
        let mut state = self.lock();
        state.next += 1;
        state.routers[state.next % state.routers.len()]
    }

    /// A kept connection to `router`, or a new one.
    pub fn client(&self, router: SocketAddr) -> Client {
        let mut state = self.lock();
        match state.kept.iter().rposition(|(address, _)| *address == router) {
            Some(at) => state.kept.swap_remove(at).1,
            None => Client::new(router),
        }
    }

    /// Keeps a connection on which a whole answer was read.
    pub fn keep(&self, router: SocketAddr, client: Client) {
        let mut state = self.lock();
        if state.kept.len() < MOST_KEPT {
            state.kept.push((router, client));
        }
    }

    /// A router came back at another address.
    pub fn replace(&self, index: usize, router: SocketAddr) {
        let mut state = self.lock();
        let old = std::mem::replace(&mut state.routers[index], router);
        state.kept.retain(|(address, _)| *address != old);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
