//! Published state of one endpoint.

use ids::{Incarnation, WeightsVersion};

/// Whether an endpoint gets requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    /// It gets requests.
    #[default]
    Live,
    /// It failed recently and gets requests only if no live endpoint is available.
    Suspected,
    /// It gets no new requests.
    Unavailable,
}

/// Published state of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointState {
    /// Whether it gets requests.
    pub availability: Availability,
    /// Its incarnation, 0 if unknown.
    pub incarnation: Incarnation,
    /// The weights it serves, absent if unknown.
    pub weights: Option<WeightsVersion>,
}
