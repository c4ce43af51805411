//! Text identifiers.

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, AsRef, Serialize, Deserialize)]
        #[from(String, &str)]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

text_id!(
    /// A customer of the system. Has its own API keys, limits and cached prefixes.
    WorkspaceId
);
text_id!(
    /// A model, as named in client requests.
    ModelId
);
text_id!(
    /// One version of a model's weights.
    WeightsVersion
);
text_id!(
    /// One version of an endpoint's software. Endpoints of several versions may serve one service side by side.
    SoftwareVersion
);
text_id!(
    /// A plain service, served by runners instead of model engines.
    ServiceId
);
text_id!(
    /// A back end: an engine or a runner of a plain service.
    EndpointId
);
text_id!(
    /// A machine that runs a router.
    VmId
);
text_id!(
    /// A failure domain.
    DomainId
);
text_id!(
    /// A client request; unique across all routers.
    RequestId
);
text_id!(
    /// A client's key for a call that may run at most once; unique within its workspace.
    IdempotencyKey
);
