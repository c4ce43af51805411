//! Chooses the endpoint for a request. Never does I/O, never reads a clock.
