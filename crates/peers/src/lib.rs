//! Heartbeats and digests between routers, over tarpc.
