//! Bounds on what a peer may send.

use super::RawBodyError;

/// A bound that a response exceeds. Its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// On the bytes of a head.
    Head,
    /// On the number of interim responses.
    Interim,
    /// On the bytes of responses to other requests.
    Skipped,
    /// On the bytes of chunk extensions.
    Extensions,
    /// On the bytes of trailers.
    Trailers,
    /// On the bytes of a body.
    Body,
    /// On the bytes of one event of a stream.
    Event,
}

impl Bound {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Interim => "interim",
            Self::Skipped => "skipped",
            Self::Extensions => "extensions",
            Self::Trailers => "trailers",
            Self::Body => "body",
            Self::Event => "event",
        }
    }
}

impl RawBodyError {
    /// The bound that the body exceeds, if it does.
    pub fn bound(&self) -> Option<Bound> {
        match self {
            Self::TooLarge => Some(Bound::Body),
            Self::Extensions => Some(Bound::Extensions),
            Self::Trailers => Some(Bound::Trailers),
            Self::Truncated | Self::Chunk | Self::Io(_) => None,
        }
    }
}
