//! Load shedding across the kinds of streaming requests that share the engines of a service.
//!
//! Load pattern: long prompts arrive at 2.5 times their usual rate for some seconds and fill the engines that also
//! serve urgent long answers. With [`crate::pressure`], a router refuses requests of the late kind, although the less
//! urgent prompts cause the delay. One router of a hundred also sees too few first events to notice it.
//!
//! So routers add up the first-event delays and the offered tokens by kind. If any kind is late, the least urgent kind
//! is reduced first, down to a floor, then the next one. Applies only to services with a patient route
//! ([`crate::site::Site::has_patient`]).

mod waiting;

pub use waiting::{
    Entry, PatientStep, QueueWait, WaitQueue, is_unsent, may_seek, patient_step, retry_after, seek_pause,
};

use ids::WorkspaceId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// Half-life of an observation in seconds. The sums over all routers hold hundreds of first events in that time, and
/// shedding has to end within a second or two after its cause.
pub(crate) const HALF_LIFE_SECS: f64 = 0.75;
/// Weight of the prior, in observations, and its ratio of delay to objective, typical of normal load.
const PRIOR_WEIGHT: f64 = 6.0;
const PRIOR_RATIO: f64 = 0.5;
/// Bounds of the ratio of a single observation. With the upper one, the prior outweighs two late first events.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 4.0;
/// Mean ratio above which requests are shed. Below 1, because a first event shows the queue only after its delay.
const SHED_RATIO: f64 = 0.85;
/// Excess over [`SHED_RATIO`] at which all tokens would be shed, were it not for [`MAX_SHED_SHARE`]. With 1.0, requests
/// stay late for the whole of a peak (`tests/overload_model.rs`).
const SHED_RATIO_RANGE: f64 = 0.4;
/// Largest share of the offered tokens that is shed: a peak of 2.5 times the usual load, with some capacity lost.
const MAX_SHED_SHARE: f64 = 0.7;
/// Mean ratio above which kinds are shed that are not patient or not the least urgent, and the excess at which they are down to the
/// floor. Nearly all first events are late then; below it, the rest of the cut is dropped.
const NEXT_RATIO: f64 = 1.5;
const NEXT_RATIO_RANGE: f64 = 1.5;
/// Share of the requests of each kind and workspace that is always admitted. They show when the queues are short again.
pub const FLOOR: f64 = 0.25;
/// Workspaces that a kind holds, the heaviest first. Bounds the size of messages between routers.
const MAX_WORKSPACES: usize = 32;
/// Longest wait that `Retry-After` assumes for shed requests, as a multiple of their objective.
pub const WORST_WAIT_FACTOR: f64 = 2.0;
/// Largest weight of a report, in observations: several times what all routers of a large deployment see in a half-life.
const MAX_REPORT_WEIGHT: f64 = 2_000.0;
/// Tokens of a request that states none: as many as quotas assume.
pub(crate) const UNSTATED_TOKENS: u64 = 200;
/// Decayed sums below this weight are dropped.
const MIN_WEIGHT: f64 = 0.001;

/// Requests with one rank and objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Time after which the first event is late.
    pub objective: Duration,
}

/// Recent first-event delays and offered load of one kind, of one router or the sum of several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KindLoad {
    /// Priority of the kind.
    #[serde(rename = "r")]
    pub rank: u8,
    /// Objective of the kind, milliseconds.
    #[serde(rename = "o")]
    pub objective_ms: u64,
    /// Sum of the logarithms of the ratios of delay to objective.
    #[serde(rename = "s", default)]
    pub log_sum: f64,
    /// Number of observations in this sum, decayed.
    #[serde(rename = "w", default)]
    pub weight: f64,
    /// Offered tokens by workspace, decayed; none for requests without a workspace.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<(Option<WorkspaceId>, f64)>,
}

impl KindLoad {
    /// A kind without observations.
    pub fn new(kind: Kind) -> Self {
        Self {
            rank: kind.rank,
            objective_ms: kind.objective.as_millis() as u64,
            ..Self::default()
        }
    }

    /// The kind.
    pub fn kind(&self) -> Kind {
        Kind {
            rank: self.rank,
            objective: Duration::from_millis(self.objective_ms),
        }
    }

    /// Records that a first event arrived `waited` after its request was sent, or has not arrived within that time.
    pub fn record_delay(&mut self, waited: Duration) {
        let objective = self.kind().objective.as_secs_f64().max(f64::MIN_POSITIVE);
        let ratio = waited.as_secs_f64() / objective;
        self.log_sum += ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        self.weight += 1.0;
    }

    /// Records the tokens of a request, before it is decided whether the request is admitted.
    pub fn record_tokens(&mut self, workspace: Option<&WorkspaceId>, tokens: f64) {
        match self.tokens.iter_mut().find(|(name, _)| name.as_ref() == workspace) {
            Some((_, sum)) => *sum += tokens,
            None => self.tokens.push((workspace.cloned(), tokens)),
        }
    }

    /// Multiplies all sums by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.log_sum *= factor;
        self.weight *= factor;
        self.tokens.iter_mut().for_each(|(_, tokens)| *tokens *= factor);
        self.tokens.retain(|(_, tokens)| *tokens >= 1.0);
    }

    /// Whether all observations have decayed.
    pub fn is_empty(&self) -> bool {
        self.weight < MIN_WEIGHT && self.tokens.is_empty()
    }

    /// Adds the sums of another router, decayed by `factor`. Values that no router can have observed are bounded.
    pub fn add(&mut self, other: &Self, factor: f64) {
        let weight = other.weight.clamp(0.0, MAX_REPORT_WEIGHT);
        if weight > 0.0 {
            let mean = (other.log_sum / other.weight).clamp(MIN_RATIO.ln(), MAX_RATIO.ln());
            self.weight += weight * factor;
            self.log_sum += mean * weight * factor;
        }
        for (workspace, tokens) in &other.tokens {
            self.record_tokens(workspace.as_ref(), tokens.max(0.0) * factor);
        }
        if self.tokens.len() > MAX_WORKSPACES {
            self.tokens.sort_by(|(_, a), (_, b)| b.total_cmp(a));
            self.tokens.truncate(MAX_WORKSPACES);
        }
    }

    /// Geometric mean of the ratios of first-event delay to objective.
    pub fn mean_ratio(&self) -> f64 {
        let sum = self.log_sum + PRIOR_RATIO.ln() * PRIOR_WEIGHT;
        (sum / (self.weight + PRIOR_WEIGHT)).exp()
    }

    fn total(&self) -> f64 {
        self.tokens.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Share of the requests of a workspace that is admitted if `share` of the tokens is. Workspaces that use less than
    /// an even share of these tokens are admitted in full.
    fn workspace_share(&self, workspace: Option<&WorkspaceId>, share: f64) -> f64 {
        let of = |(name, tokens): &(Option<WorkspaceId>, f64)| (name.as_ref() == workspace).then_some(*tokens);
        let Some(own) = self.tokens.iter().find_map(of).filter(|own| *own > 0.0) else {
            return 1.0;
        };
        let mut uses: Vec<f64> = self.tokens.iter().map(|(_, tokens)| *tokens).collect();
        uses.sort_by(f64::total_cmp);
        let mut left = share * self.total();
        let mut cap = f64::INFINITY;
        for (index, tokens) in uses.iter().enumerate() {
            let even = left / (uses.len() - index) as f64;
            if *tokens > even {
                cap = even;
                break;
            }
            left -= tokens;
        }
        (cap / own).clamp(FLOOR, 1.0)
    }
}

/// Merges `load` into the kinds of a service.
pub fn add_kind(kinds: &mut Vec<KindLoad>, load: &KindLoad, factor: f64) {
    match kinds.iter_mut().find(|known| known.kind() == load.kind()) {
        Some(known) => known.add(load, factor),
        None => {
            let mut new = KindLoad::new(load.kind());
            new.add(load, factor);
            kinds.push(new);
        }
    }
}

/// How much of a kind and workspace is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// Mean ratio of first-event delay to objective of the latest kind of the service.
    pub pressure: f64,
    /// Share of the requests that is admitted.
    pub share: f64,
}

impl Admission {
    /// All requests are admitted, without any observation.
    pub const ALL: Self = Self {
        pressure: PRIOR_RATIO,
        share: 1.0,
    };

    /// Whether to admit a request; `draw` is uniform over all `u64` values.
    pub fn admits(&self, draw: u64) -> bool {
        fraction(draw) < self.share
    }
}

/// Whether a request is among those that are always admitted; `draw` is the one of [`Admission::admits`].
pub fn is_always_admitted(draw: u64) -> bool {
    fraction(draw) < FLOOR
}

fn fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

/// A streaming request for which admission is decided.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// Its kind.
    pub kind: Kind,
    /// Whether its route is patient ([`crate::site::Site::is_patient`]). The observed kinds don't show it, since no
    /// patient request may have arrived lately.
    pub is_patient: bool,
    /// Its workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Its size in tokens; 0 if it states none.
    pub tokens: u64,
}

/// Decides how many requests like `offer` are admitted, given all kinds of the service.
pub fn admission(kinds: &[KindLoad], offer: &Offer<'_>) -> Admission {
    let pressure = kinds.iter().map(KindLoad::mean_ratio).fold(PRIOR_RATIO, f64::max);
    let all = Admission { pressure, share: 1.0 };
    let shed = ((pressure - SHED_RATIO) / SHED_RATIO_RANGE).clamp(0.0, MAX_SHED_SHARE);
    if shed <= 0.0 {
        return all;
    }
    let mut excess = shed * kinds.iter().map(KindLoad::total).sum::<f64>();
    let mut order: Vec<&KindLoad> = kinds.iter().collect();
    order.sort_by_key(|load| Reverse(load.kind()));
    for (index, load) in order.into_iter().enumerate() {
        let total = load.total();
        // Cutting a kind relieves only kinds at least as urgent, which are admitted first at the engines.
        let as_urgent = kinds.iter().filter(|other| other.kind() <= load.kind());
        let lateness = as_urgent.map(KindLoad::mean_ratio).fold(PRIOR_RATIO, f64::max);
        let next = ((lateness - NEXT_RATIO) / NEXT_RATIO_RANGE).clamp(0.0, 1.0);
        let is_first = index == 0 && (offer.is_patient || load.kind() != offer.kind);
        let part = if is_first { 1.0 } else { next };
        let most = total * (1.0 - FLOOR);
        let cut = excess.min(most * part);
        if load.kind() == offer.kind {
            let share = if total > 0.0 { 1.0 - cut / total } else { 1.0 };
            let share = if share < 1.0 {
                load.workspace_share(offer.workspace, share)
            } else {
                1.0
            };
            return Admission { pressure, share };
        }
        // A more urgent kind is cut only if this one is at its floor.
        excess = if cut < most { 0.0 } else { excess - cut };
    }
    all
}
