//! Division of a quota between urgent and patient requests of a workspace.
//!
//! Load pattern: a workspace over its quota sends long prompts on a patient route and short calls that are answered
//! within a fraction of a second. A prompt costs as much as 46 calls, so refusing a few prompts admits all calls.

use std::time::Duration;

/// Part of the band above and below a level of zero in which only one class's probability changes: the patient one's
/// falls below zero first, the urgent one's rises above zero first. Each class gets half, so that neither is switched
/// on and off by the cost of one long prompt.
const CLASS_PART: f64 = 0.5;
/// Demand, in units per second, below which a class counts as absent. The cheapest request costs one unit.
const MIN_DEMAND: f64 = 0.01;
/// Shortest and longest time after which a refused client should retry.
pub(super) const MIN_RETRY: Duration = Duration::from_millis(250);
pub(super) const MAX_RETRY: Duration = Duration::from_secs(10);
/// Longest wait, as a part of [`MAX_RETRY`], from which returning clients are spread.
const MAX_EARLIEST: f64 = 0.5;
/// Smallest probability of admission in the spread: at most ten times the wait.
const MIN_PROBABILITY: f64 = 0.1;

/// Class of a request under the quota of its workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Refused last: non-streaming calls, and streams on routes that are not patient.
    Urgent,
    /// Refused first: streams on [patient routes](crate::site::Site::is_patient).
    Patient,
}

/// What a workspace asks for by class, and the rate at which the known part of its quota refills. All in units per
/// second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Refill of the part of the quota that belongs to the routers that reported the demand.
    pub rate: f64,
    /// Cost of the urgent requests, admitted or not.
    pub urgent: f64,
    /// Cost of the patient requests, admitted or not.
    pub patient: f64,
}

impl Demand {
    /// The demand, if any of it is patient.
    pub(super) fn by_class(rate: f64, asked: f64, patient: f64) -> Option<Self> {
        let urgent = (asked - patient).max(0.0);
        (patient >= MIN_DEMAND).then_some(Self { rate, urgent, patient })
    }

    /// Rate available to a class: the patient one gets what the urgent one leaves.
    fn available(&self, class: Class) -> f64 {
        match class {
            Class::Urgent => self.rate,
            Class::Patient => (self.rate - self.urgent).max(0.0),
        }
    }

    /// Share of a class's requests that are admitted at a level of zero.
    pub fn share(&self, class: Class) -> f64 {
        let asked = match class {
            Class::Urgent => self.urgent,
            Class::Patient => self.patient,
        };
        if asked <= 0.0 {
            return 1.0;
        }
        (self.available(class) / asked).min(1.0)
    }

    /// Time after which a refused client should retry. `missing` is what the level lacks for the request; `draw` is
    /// the draw that refused it, which is at least `probability`.
    pub(super) fn retry_after(&self, class: Class, missing: f64, probability: f64, draw: f64) -> Duration {
        let refill = missing.max(0.0) / self.available(class).max(f64::MIN_POSITIVE);
        let longest = MAX_RETRY.as_secs_f64();
        let earliest = refill.clamp(MIN_RETRY.as_secs_f64(), longest * MAX_EARLIEST);
        let latest = (earliest * (1.0 + 1.0 / probability.max(MIN_PROBABILITY))).min(longest);
        // Refused draws lie between the probability and 1. Scaled to 0..1, they spread clients evenly.
        let position = (draw - probability) / (1.0 - probability).max(f64::EPSILON);
        Duration::from_secs_f64(earliest + position.clamp(0.0, 1.0) * (latest - earliest))
    }
}

/// Probability that a request is admitted at a level, given in multiples of the band, if a share of its class is
/// admitted at a level of zero.
pub(super) fn probability(class: Class, share: f64, level: f64) -> f64 {
    let first = (level.abs() / CLASS_PART).min(1.0);
    let second = ((level.abs() - CLASS_PART) / (1.0 - CLASS_PART)).clamp(0.0, 1.0);
    match (class, level < 0.0) {
        (Class::Patient, true) => share * (1.0 - first),
        (Class::Urgent, true) => share * (1.0 - second),
        (Class::Urgent, false) => share + (1.0 - share) * first,
        (Class::Patient, false) => share + (1.0 - share) * second,
    }
}

/// Missing level, as a multiple of the band, below zero at which a class is still admitted.
pub(super) fn debt_part(class: Class) -> f64 {
    match class {
        Class::Urgent => CLASS_PART,
        Class::Patient => 0.0,
    }
}
