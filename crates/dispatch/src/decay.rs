//! Exponential decay of observations with their age.

use std::time::Duration;

/// Fraction of a weight that remains after `age`, with a half-life of `half_life` seconds.
pub(crate) fn remaining(age: Duration, half_life: f64) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life)
}
