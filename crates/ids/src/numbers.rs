//! Numeric identifiers.

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
    /// Incarnation of an endpoint. Changes when the endpoint restarts with an empty cache.
    Incarnation(u64)
);
number_id!(
    /// Version of a value in the platform's key-value service; 0 if the key never existed.
    Version(u64)
);
number_id!(
    /// Revision of the configuration document; only increases.
    Revision(u64)
);
number_id!(
    /// Fencing token of a lease holder; only increases.
    Fence(u64)
);
number_id!(
    /// Priority of a request; 0 is the most urgent.
    Priority(u8)
);
