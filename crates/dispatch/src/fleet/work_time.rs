//! How long work takes on an endpoint's machine at this moment, as the endpoint reports it.
//!
//! Load pattern: machines that noisy neighbours slow down for some hundred milliseconds at a time. A report says how
//! slow a machine is now, and nothing about its state a second later.

use crate::decay;
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of a reported value in percent. A false value must not make an endpoint look faster or slower than by
/// [`MAX_FACTOR`].
const MIN_PERCENT: u64 = 25;
const MAX_PERCENT: u64 = 400;
/// Largest factor by which speeds are assumed to differ.
pub(super) const MAX_FACTOR: f64 = 4.0;
/// The value changes many times a second, so a single one is misleading. Those within this time are averaged.
const AVERAGED: Duration = Duration::from_millis(200);
/// Half-life of the current speed. The disturbances that it shows last about 600 ms.
const HALF_LIFE_SECS: f64 = 0.15;
/// Age from which the latest value says nothing.
const FRESH: Duration = Duration::from_millis(400);
/// Values that are kept: more than arrive during a long answer in a large failure domain.
const MAX_VALUES: usize = 32;

/// Time that work takes on a machine at one moment, relative to the usual time of that machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkTime(u16);

impl WorkTime {
    /// Creates a value from percent of the usual time. Returns `None` for zero, and bounds other values to 25 to 400.
    pub fn from_percent(percent: u64) -> Option<Self> {
        let bounded = percent.clamp(MIN_PERCENT, MAX_PERCENT);
        (percent > 0).then_some(Self(bounded as u16))
    }

    /// Percent of the usual time.
    pub fn percent(self) -> u64 {
        u64::from(self.0)
    }

    fn ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Duration,
    work_time: WorkTime,
    /// Running and waiting requests.
    requests: u32,
}

/// The values that an endpoint reported recently, oldest first.
#[derive(Debug, Default)]
pub(super) struct WorkTimes(VecDeque<Reported>);

impl WorkTimes {
    /// Records a value that is newer than those recorded before, and the running and waiting requests at that time.
    pub(super) fn record(&mut self, work_time: WorkTime, requests: u32, at: Duration) {
        if self.0.len() == MAX_VALUES {
            self.0.pop_front();
        }
        self.0.push_back(Reported {
            at,
            work_time,
            requests,
        });
    }

    /// Speed of the machine at `now` relative to its usual speed; 1 without a fresh value.
    pub(super) fn current_speed(&self, now: Duration) -> f64 {
        let Some(Reported { at: latest, .. }) = self.0.back() else {
            return 1.0;
        };
        let age = now.saturating_sub(*latest);
        if age >= FRESH {
            return 1.0;
        }
        let mean = self.mean(latest.saturating_sub(AVERAGED), *latest);
        let mean = mean.map_or(1.0, |(ratio, _)| ratio);
        mean.powf(-decay::remaining(age, HALF_LIFE_SECS))
    }

    /// Mean ratio to the usual time, and mean number of requests, as reported from `began` to `ended`.
    pub(super) fn mean(&self, began: Duration, ended: Duration) -> Option<(f64, f64)> {
        let reports = self.0.iter().filter(|reported| (began..=ended).contains(&reported.at));
        let (mut ratio, mut requests, mut count) = (0.0, 0.0, 0.0);
        for reported in reports {
            ratio += reported.work_time.ratio();
            requests += f64::from(reported.requests);
            count += 1.0;
        }
        (count > 0.0).then(|| (ratio / count, requests / count))
    }
}
