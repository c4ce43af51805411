//! Settings of all routers in a run, with mechanisms that can be disabled.

use crate::deployment::{BLOCK_TOKENS, PREFILL_RATE, REPORT_INTERVAL, REPORT_LAG};
use placement::{LoadView, LoadViewBuilder, Placer, PlacerBuilder};
use std::time::Duration;

/// The kind of queue in front of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueKind {
    /// A bounded FIFO queue for requests while no engine has room.
    Fifo,
    /// The admission crate.
    Admission,
}

/// Settings of every router in a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The settings of the placer.
    pub placer: PlacerBuilder,
    /// The settings of the load view.
    pub view: LoadViewBuilder,
    /// The queue in front of placement.
    pub queue_kind: QueueKind,
    /// The initial limit on requests from all routers at an engine, in multiples of its slots.
    pub overcommit: f64,
    /// Interval between the load reports of an engine.
    pub report_interval: Duration,
    /// Delay until a report reaches a router.
    pub report_lag: Duration,
    /// Whether a starting router reads the pressures stored by another router.
    pub hint: bool,
    /// Weight of recomputed tokens in the oracle's choice.
    pub oracle_miss_weight: f64,
}

/// Weight of recomputed tokens in the oracle's choice.
const ORACLE_MISS_WEIGHT: f64 = 2.0;

impl Default for Settings {
    fn default() -> Self {
        Self {
            placer: Placer::builder().block_tokens(BLOCK_TOKENS).prefill_rate(PREFILL_RATE),
            view: LoadView::builder(PREFILL_RATE),
            queue_kind: QueueKind::Admission,
            overcommit: 1.0,
            report_interval: REPORT_INTERVAL,
            report_lag: REPORT_LAG,
            hint: true,
            oracle_miss_weight: ORACLE_MISS_WEIGHT,
        }
    }
}

impl Settings {
    /// Disables one mechanism (`name`) or changes one value (`name=figure`). Returns `None` for an unknown name.
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
            "admission" => self.queue_kind = QueueKind::Fifo,
            "every" => self.report_interval = time,
            "lag" => self.report_lag = time,
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
            "oracle" => self.oracle_miss_weight = figure,
            _ => return None,
        }
        Some(self)
    }
}
