//! How what was seen loses weight with its age.

use std::time::Duration;

/// Weight that is left after `age` of what loses half of it in `half` seconds.
pub(crate) fn left(age: Duration, half: f64) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half)
}
