//! Counts open connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// An open connection. It is counted until dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    /// Counts one more connection in `open`.
    pub fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
