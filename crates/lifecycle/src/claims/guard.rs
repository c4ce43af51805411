//! Which protection a call needs, and so what can be served while the platform is out.

use crate::request::RetryPolicy;

/// How a call is kept from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Protection {
    /// Not needed: a second execution does no harm. Served while the platform is out.
    Idempotent,
    /// The service itself runs a key at most once. Served while the platform is out.
    Endpoint,
    /// No key: this router sends it at most once; a retry by the caller is a new call. Served while the
    /// platform is out.
    SingleSend,
    /// A claim comes first. Refused while the platform is out.
    Claim,
}

/// The guard of a call, from the operation's configuration and whether the caller gave a key.
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
    /// How often the router may send the call.
    pub fn retry_policy(self) -> RetryPolicy {
        match self {
            Self::Idempotent | Self::Endpoint => RetryPolicy::Idempotent,
            Self::SingleSend => RetryPolicy::Once,
            Self::Claim => RetryPolicy::Claimed,
        }
    }
}
