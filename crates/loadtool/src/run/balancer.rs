//! Simulates the platform's load balancer: round robin over the routers, with a pool of idle client connections.

use standins::http::Client;
use std::net::SocketAddr;
use std::sync::Mutex;

const MAX_IDLE: usize = 64;

/// Routers and the connections to them.
#[derive(Debug, Default)]
pub struct Balancer {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: usize,
    routers: Vec<SocketAddr>,
    idle: Vec<(SocketAddr, Client)>,
}

impl Balancer {
    /// Creates a balancer for these routers.
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

    /// Returns an idle connection to `router`, or a new one.
    pub fn client(&self, router: SocketAddr) -> Client {
        let mut state = self.lock();
        match state.idle.iter().rposition(|(address, _)| *address == router) {
            Some(at) => state.idle.swap_remove(at).1,
            None => Client::new(router),
        }
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put_back(&self, router: SocketAddr, client: Client) {
        let mut state = self.lock();
        if state.idle.len() < MAX_IDLE {
            state.idle.push((router, client));
        }
    }

    /// Replaces the address of a restarted router.
    pub fn replace(&self, index: usize, router: SocketAddr) {
        let mut state = self.lock();
        let old = std::mem::replace(&mut state.routers[index], router);
        state.idle.retain(|(address, _)| *address != old);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}
