//! Settings of every router in a run, and mechanisms that can be switched off.

use crate::deployment::{BLOCK_TOKENS, PREFILL_RATE, REPORT_EVERY, REPORT_LAG};
use placement::{LoadView, LoadViewBuilder, Placer, PlacerBuilder};
use std::time::Duration;

/// What stands before placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// A bounded first-in-first-out queue for requests that find no engine with room.
    Fifo,
    /// The admission crate.
    Admission,
}

/// Settings of every router in a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The placer's.
    pub placer: PlacerBuilder,
    /// The load view's.
    pub view: LoadViewBuilder,
    /// What stands before placement.
    pub front: Front,
    /// What all routers together may have at an engine at first, in multiples of its slots.
    pub overcommit: f64,
    /// Time between two load reports of an engine.
    pub every: Duration,
    /// How late a report reaches a router.
    pub lag: Duration,
    /// Whether routers that start read the pressures that another one stored.
    pub hint: bool,
    /// Price of recomputing in the oracle's choice.
    pub oracle: f64,
}

/// Price of recomputing in the oracle's choice, the best of 1, 2, 4, 8 and 16 at 80% load.
const ORACLE: f64 = 2.0;

impl Default for Settings {
    fn default() -> Self {
        Self {
            placer: Placer::builder().block_tokens(BLOCK_TOKENS).prefill_rate(PREFILL_RATE),
            view: LoadView::builder(PREFILL_RATE),
            front: Front::Admission,
            overcommit: 1.0,
            every: REPORT_EVERY,
            lag: REPORT_LAG,
            hint: true,
            oracle: ORACLE,
        }
    }
}

impl Settings {
    /// With one mechanism off or one figure changed, as `name` or `name=figure`; none if the name is unknown.
    pub fn changed(mut self, change: &str) -> Option<Self> {
        let (name, figure) = change.split_once('=').unwrap_or((change, "0"));
        let figure: f64 = figure.parse().ok()?;
        let time = Duration::from_secs_f64(figure);
        match name {
            "hash" => self.placer = self.placer.hashing(false),
            "learn" => self.placer = self.placer.learning(false),
            "price" => self.placer = self.placer.price_base(1.0).price_rise(0.0),
            "reports" => self.view = self.view.reports(false),
            "own" => self.view = self.view.own_placements(false),
            "speed" => self.view = self.view.pace_detection(false),
            "admission" => self.front = Front::Fifo,
            "every" => self.every = time,
            "lag" => self.lag = time,
            "hint" => self.hint = false,
            "ranks" => self.placer = self.placer.ranks(figure as usize),
            "spread" => self.placer = self.placer.outer_share(figure),
            "belief" => self.placer = self.placer.spill_hit_share(figure),
            "keep" => self.placer = self.placer.entry_ttl(time),
            "fade" => self.placer = self.placer.decay_time(time),
            "base" => self.placer = self.placer.price_base(figure),
            "rise" => self.placer = self.placer.price_rise(figure),
            "lean" => self.view = self.view.weight_exponent(figure),
            "smooth" => self.view = self.view.smoothing_time(time),
            "drain" => self.view = self.view.drain_share(figure),
            "overcommit" => self.overcommit = figure,
            "oracle" => self.oracle = figure,
            _ => return None,
        }
        Some(self)
    }
}
