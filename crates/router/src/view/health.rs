//! What traffic may believe of one endpoint.

use ids::{Incarnation, WeightsVersion};

/// Whether an endpoint gets work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// It gets work.
    #[default]
    Live,
    /// It failed lately and gets work only if no live one is left.
    Suspected,
    /// It gets no new work.
    Out,
}

/// What is believed of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Believed {
    /// Whether it gets work.
    pub standing: Standing,
    /// Its life, 0 if it has not been heard of.
    pub incarnation: Incarnation,
    /// The weights it serves, absent if it has not been heard of.
    pub weights: Option<WeightsVersion>,
}
