//! State machines of a request, a stream and an idempotency claim. Never does I/O.
