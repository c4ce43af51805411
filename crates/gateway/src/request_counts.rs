//! Numbers of requests in flight, by how far they have come.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers of requests in flight. Each is part of the one before it.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Requests of which at least one byte was read and whose response is not finished.
    pub begun: Count,
    /// Those that were read completely.
    pub whole: Count,
    /// Attempts that an endpoint may be running. A request has several while an endpoint is silent.
    pub sent: Count,
}

/// A number of requests.
#[derive(Debug, Default)]
pub struct Count(AtomicUsize);

/// Counts a request until dropped.
#[derive(Debug)]
pub struct Counted<'a>(&'a Count);

impl Count {
    /// Counts one more.
    pub fn add(&self) -> Counted<'_> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Counted(self)
    }

    /// The number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::SeqCst);
    }
}
