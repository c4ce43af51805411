//! Identifiers that are numbers.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

number_id!(
    /// One life of an endpoint: it changes when the endpoint restarts, and its cache is empty then.
    Incarnation(u64)
);
number_id!(
    /// Version of one value in the platform's key-value service; 0 stands for "absent".
    Version(u64)
);
number_id!(
    /// Revision of the configuration document; it only grows.
    Revision(u64)
);
number_id!(
    /// Fencing number of a lease holder; it only grows.
    Fence(u64)
);
number_id!(
    /// Urgency of a request: 0 is the most urgent.
    Priority(u8)
);
