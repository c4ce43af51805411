//! Which protection against repeated execution a call needs, and whether it can be served during a platform outage.

use crate::request::RetryPolicy;

/// How a call is protected against running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Protection {
    /// Not needed, because a second execution does no harm. Served during a platform outage.
    Idempotent,
    /// The service itself runs each key at most once. Served during a platform outage.
    Endpoint,
    /// No key: this router sends the call at most once. A retry by the client is a new call. Served during a platform
    /// outage.
    SingleSend,
    /// A claim is acquired first. Refused during a platform outage.
    Claim,
}

/// The protection of a call, from the operation's configuration and whether the client gave a key.
pub fn protection(idempotent: bool, deduplicates: bool, keyed: bool) -> Protection {
    if idempotent {
        return Protection::Idempotent;
    }
    if !keyed {
        return Protection::SingleSend;
    }
    if deduplicates {
        Protection::Endpoint
    } else {
        Protection::Claim
    }
}

impl Protection {
    /// How often a router may send the call.
    pub fn retry_policy(self) -> RetryPolicy {
        match self {
            Self::Idempotent | Self::Endpoint => RetryPolicy::Idempotent,
            Self::SingleSend => RetryPolicy::Once,
            Self::Claim => RetryPolicy::Claimed,
        }
    }
}
