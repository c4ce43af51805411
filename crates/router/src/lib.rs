//! The router: sockets and timers round the core.
