//! Requests under which endpoints end.

use derive_more::{Display, From};
use ids::Incarnation;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies a request by its content. All attempts of clients to make the same request have the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, From, Display)]
#[display("{_0:016x}")]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// The key of a request with these parts, such as its method, target and body.
    pub fn of(parts: &[&[u8]]) -> Self {
        // The lengths keep parts apart that together have the same bytes.
        let fold = |seed, part: &&[u8]| xxh3_64_with_seed(part, seed ^ part.len() as u64);
        Self(parts.iter().fold(0, fold))
    }
}

/// What a probe says of an endpoint whose connection broke during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// No process accepts connections at its address.
    Refused,
    /// A process answers, which started then, if it says so.
    Answered(Option<Incarnation>),
    /// Another endpoint has its address.
    OtherEndpoint,
    /// Nothing came in time.
    Silent,
}

/// Whether an endpoint's process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// The process ended.
    Ended,
    /// It is still running, so only the connection broke.
    Alive,
    /// Unknown: the path to the endpoint may be cut.
    Unknown,
}

impl Fate {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Unknown => "unknown",
        }
    }
}

/// Unreachable endpoints from which a refused connection counts as a cut path or a failure of many endpoints, which no
/// request causes.
const MAX_UNREACHABLE: usize = 3;

/// Incarnation of an endpoint whose entry names none.
const UNKNOWN: Incarnation = Incarnation(0);

/// Judges whether the process with this incarnation ended, with `unreachable` other endpoints out of reach.
pub fn fate(probe: Probe, incarnation: Incarnation, unreachable: usize) -> Fate {
    match probe {
        Probe::Refused if unreachable < MAX_UNREACHABLE => Fate::Ended,
        Probe::Refused | Probe::Silent => Fate::Unknown,
        Probe::OtherEndpoint => Fate::Ended,
        Probe::Answered(Some(answering)) if answering != incarnation && incarnation != UNKNOWN => Fate::Ended,
        Probe::Answered(_) => Fate::Alive,
    }
}
